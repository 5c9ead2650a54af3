#ifndef GCW_CONFIG_CODEC_H_
#define GCW_CONFIG_CODEC_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "gcw/base/result.h"
#include "gcw/config/resources.h"

namespace gcw::config {

enum class ResourceKind { kOrganisation, kService, kServer, kZone };

// A resource of any kind.
using Resource =
    std::variant<Organisation, Service, BackendServer, AvailabilityZone>;

// Names a resource; also the identity of its platform object.
struct ResourceId {
  ResourceKind kind = ResourceKind::kOrganisation;
  std::string name;

  // The linter takes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const ResourceId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// Platform keys of all configuration objects start so.
inline constexpr std::string_view kConfigPrefix = "config/";
// The encoded value of one object may be this large.
inline constexpr std::size_t kMaxValueBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxServiceAddresses = 64;
inline constexpr std::size_t kMaxServiceServers = 1000;
inline constexpr std::uint32_t kMaxWeight = 1000;

// The word of the kind in keys: "organisation", "service", "server", "zone".
// Thread-safe.
std::string_view ToString(ResourceKind kind);
// "config/KIND/NAME". Thread-safe.
std::string KeyOf(const ResourceId& id);
// The resource that `key` names, or nothing if it names none. Thread-safe.
std::optional<ResourceId> ParseKey(std::string_view key);

// Thread-safe.
ResourceKind KindOf(const Resource& resource);
const std::string& NameOf(const Resource& resource);
ResourceId IdOf(const Resource& resource);
// The organisation that owns the resource: itself for an organisation, empty
// for a zone and for a shared backend server. Thread-safe.
std::string_view OwnerOf(const Resource& resource);
Version VersionOf(const Resource& resource);

// What to do with fields that this release does not know. Operators' input is
// refused for them; stored objects are read without them, so that a daemon of
// an older release keeps working beside a newer one.
enum class UnknownFields { kRefuse, kIgnore };

// A decoded resource, or every reason why there is none.
struct DecodedResource {
  std::optional<Resource> resource;
  std::vector<Error> errors;
};

// Decodes the spec of a resource of kind `kind`. Each wrong field is reported
// with its path. `version` and `created` stay 0. Thread-safe.
DecodedResource DecodeSpec(ResourceKind kind,
                           const nlohmann::json& spec,
                           UnknownFields unknown);

// The spec of `resource` with all fields, defaults included. Thread-safe.
nlohmann::json EncodeSpec(const Resource& resource);

// The version of the claim under which a resource holds each address. Of two
// resources with one address the one with the larger version holds it.
using AddressClaims = std::map<Endpoint, Version>;

// The value of a platform object: the operation id of its writer, a spec and
// the claims of its addresses.
struct StoredObject {
  std::string op;
  Resource resource;
  AddressClaims claims;
};

// Encodes a value as JSON text. Thread-safe.
std::string EncodeStored(std::string_view op,
                         const Resource& resource,
                         const AddressClaims& claims = {});

// Decodes the value of the object with identity `id`; sets `version` and
// `created`. Fails with the first fault: kMalformedJson, kInvalidField (also
// if the name in the spec is not that of the key) or kMissingField.
// Thread-safe.
Result<StoredObject> DecodeStored(const ResourceId& id,
                                  std::string_view value,
                                  Version version,
                                  Version created);

}  // namespace gcw::config

#endif  // GCW_CONFIG_CODEC_H_
