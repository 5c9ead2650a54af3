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

// A configuration resource of any kind.
using Resource =
    std::variant<Organisation, Service, BackendServer, AvailabilityZone>;

// Identifies a resource by kind and name. KeyOf() derives the key of the
// resource's object on the platform from it.
struct ResourceId {
  ResourceKind kind = ResourceKind::kOrganisation;
  std::string name;

  // The linter mistakes the literal 0 of a rewritten comparison for a null
  // pointer.
  auto operator<=>(const ResourceId&) const =
      default;  // NOLINT(modernize-use-nullptr)
};

// The keys of all configuration objects on the platform start with this prefix.
inline constexpr std::string_view kConfigPrefix = "config/";
// Maximum size of the encoded spec of one resource, in bytes.
inline constexpr std::size_t kMaxValueBytes = std::size_t{256} * 1024;
// Maximum number of addresses of one service.
inline constexpr std::size_t kMaxServiceAddresses = 64;
// Maximum number of backend servers of one service.
inline constexpr std::size_t kMaxServiceServers = 1000;
// Maximum weight of a backend server in a service.
inline constexpr std::uint32_t kMaxWeight = 1000;

// Returns the name of the resource kind as used in keys: "organisation",
// "service", "server" or "zone". Thread-safe.
std::string_view ToString(ResourceKind kind);
// Returns the key of the resource's object, "config/KIND/NAME". Thread-safe.
std::string KeyOf(const ResourceId& id);
// Returns the resource that a key of the form "config/KIND/NAME" identifies, or
// nullopt if `key` does not have that form. Thread-safe.
std::optional<ResourceId> ParseKey(std::string_view key);

// Returns the kind of `resource`. Thread-safe.
ResourceKind KindOf(const Resource& resource);
// Returns the name of `resource`. Thread-safe.
const std::string& NameOf(const Resource& resource);
// Returns the kind and the name of `resource`. Thread-safe.
ResourceId IdOf(const Resource& resource);
// Returns the name of the organisation that owns the resource. An organisation
// owns itself. The result is empty for an availability zone and for a backend
// server that all organisations share. Thread-safe.
std::string_view OwnerOf(const Resource& resource);
// Returns the version of the write that last changed `resource`, or 0 if the
// resource was not read from the platform. Thread-safe.
Version VersionOf(const Resource& resource);

// How a decoder treats fields that this release does not define. Input from
// operators is decoded with kRefuse, which reports an error for each such
// field. Stored objects are decoded with kIgnore, so that a daemon of an older
// release can read objects that a newer release wrote.
enum class UnknownFields { kRefuse, kIgnore };

// The result of decoding a resource. `resource` is set if and only if `errors`
// is empty.
struct DecodedResource {
  std::optional<Resource> resource;
  std::vector<Error> errors;
};

// Decodes the spec of a resource of kind `kind`. Reports an error with the
// field path for each invalid field. Leaves `version` and `created` of the
// resource at 0. Thread-safe.
DecodedResource DecodeSpec(ResourceKind kind,
                           const nlohmann::json& spec,
                           UnknownFields unknown);

// Encodes the spec of `resource` with all fields, including those that have
// their default value. Thread-safe.
nlohmann::json EncodeSpec(const Resource& resource);

// Maps each address of a resource to the version of the claim object with which
// the resource reserved the address. If two resources have the same address, it
// belongs to the resource with the larger claim version.
using AddressClaims = std::map<Endpoint, Version>;

// The decoded value of a configuration object on the platform.
struct StoredObject {
  std::string op;  // Id of the operation that wrote the object.
  Resource resource;
  AddressClaims claims;
};

// Encodes the value of a configuration object as JSON text. `op` is the id of
// the operation that writes the object. Thread-safe.
std::string EncodeStored(std::string_view op,
                         const Resource& resource,
                         const AddressClaims& claims = {});

// Decodes the value of the configuration object of resource `id` and sets
// `version` of the resource, and `created` if the resource is a backend server.
// Fails with the first error found: kMalformedJson, kInvalidField (also if the
// name in the spec differs from `id.name`), kMissingField or kTooLarge.
// Thread-safe.
Result<StoredObject> DecodeStored(const ResourceId& id,
                                  std::string_view value,
                                  Version version,
                                  Version created);

}  // namespace gcw::config

#endif  // GCW_CONFIG_CODEC_H_
