#include "gcw/config/codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "gcw/config/object_reader.h"

namespace gcw::config {
namespace {

using nlohmann::json;

constexpr std::uint32_t kMaxQueue = 1'000'000;
constexpr std::uint32_t kMaxFlowIdleSeconds = 7 * 24 * 3600;  // A week.
constexpr std::uint32_t kMaxSlots = 100'000;
constexpr std::uint32_t kMaxConnections = 10'000'000;
constexpr std::size_t kMaxTokenHashBytes = 512;
constexpr std::size_t kMaxOpBytes = 256;

Organisation ReadOrganisation(ObjectReader& reader) {
  Organisation organisation;
  reader.ReadName("name", Presence::kRequired, &organisation.name);
  reader.ReadString("token_sha256", Presence::kOptional, kMaxTokenHashBytes,
                    &organisation.token_sha256);
  return organisation;
}

ServiceLimits ReadLimits(const json& value,
                         std::string path,
                         UnknownFields unknown,
                         std::vector<Error>* errors) {
  ServiceLimits limits;
  ObjectReader reader(value, std::move(path), errors);
  reader.ReadUint("queue", Presence::kOptional, 0, kMaxQueue, &limits.queue);
  reader.ReadUint("flow_idle_seconds", Presence::kOptional, 1,
                  kMaxFlowIdleSeconds, &limits.flow_idle_seconds);
  if (unknown == UnknownFields::kRefuse) {
    reader.Finish();
  }
  return limits;
}

ServiceMember ReadMember(const json& value,
                         std::string path,
                         UnknownFields unknown,
                         std::vector<Error>* errors) {
  ServiceMember member;
  ObjectReader reader(value, std::move(path), errors);
  reader.ReadName("server", Presence::kRequired, &member.server);
  reader.ReadUint("weight", Presence::kOptional, 0, kMaxWeight, &member.weight);
  if (unknown == UnknownFields::kRefuse) {
    reader.Finish();
  }
  return member;
}

void ReadAddresses(ObjectReader& reader,
                   std::vector<Error>* errors,
                   Service* service) {
  std::set<Endpoint> seen;
  const auto read = [&](const json& value, const std::string& path) {
    Endpoint address;
    if (!ReadEndpointValue(value, path, errors, &address)) {
      return;
    }
    if (!seen.insert(address).second) {
      errors->push_back({ResultCode::kInvalidField, path, "is listed twice"});
    }
    service->addresses.push_back(address);
  };
  reader.ReadArray("addresses", Presence::kRequired, kMaxServiceAddresses,
                   read);
}

void ReadMembers(ObjectReader& reader,
                 UnknownFields unknown,
                 std::vector<Error>* errors,
                 Service* service) {
  std::set<std::string> seen;
  const auto read = [&](const json& value, const std::string& path) {
    ServiceMember member = ReadMember(value, path, unknown, errors);
    if (!member.server.empty() && !seen.insert(member.server).second) {
      errors->push_back(
          {ResultCode::kInvalidField, path + ".server", "is listed twice"});
    }
    service->servers.push_back(std::move(member));
  };
  reader.ReadArray("servers", Presence::kOptional, kMaxServiceServers, read);
}

Service ReadService(ObjectReader& reader,
                    UnknownFields unknown,
                    std::vector<Error>* errors) {
  Service service;
  reader.ReadName("name", Presence::kRequired, &service.name);
  reader.ReadName("organisation", Presence::kRequired, &service.organisation);
  auto kind = static_cast<std::size_t>(service.kind);
  reader.ReadEnum("kind", Presence::kOptional, {"flow", "request", "mixed"},
                  &kind);
  service.kind = static_cast<ServiceKind>(kind);
  ReadAddresses(reader, errors, &service);
  ReadMembers(reader, unknown, errors, &service);
  reader.ReadValue(
      "limits", Presence::kOptional, [&](const json& value, std::string path) {
        service.limits = ReadLimits(value, std::move(path), unknown, errors);
      });
  return service;
}

// Reads the organisation of a backend server. An absent or empty field means
// that all organisations share the server.
void ReadServerOrganisation(ObjectReader& reader, BackendServer* server) {
  bool is_empty = false;
  reader.ReadValue("organisation", Presence::kOptional,
                   [&](const json& value, const std::string&) {
                     is_empty = value == json("");
                   });
  if (!is_empty) {
    reader.ReadName("organisation", Presence::kOptional, &server->organisation);
  }
}

BackendServer ReadServer(ObjectReader& reader) {
  BackendServer server;
  reader.ReadName("name", Presence::kRequired, &server.name);
  ReadServerOrganisation(reader, &server);
  reader.ReadEndpoint("address", Presence::kRequired, &server.address);
  reader.ReadName("zone", Presence::kRequired, &server.zone);
  reader.ReadUint("slots", Presence::kOptional, 1, kMaxSlots, &server.slots);
  reader.ReadUint("connections", Presence::kOptional, 1, kMaxConnections,
                  &server.connections);
  auto state = static_cast<std::size_t>(server.state);
  reader.ReadEnum("state", Presence::kOptional, {"in", "draining", "out"},
                  &state);
  server.state = static_cast<ServerState>(state);
  return server;
}

AvailabilityZone ReadZone(ObjectReader& reader) {
  AvailabilityZone zone;
  reader.ReadName("name", Presence::kRequired, &zone.name);
  auto state = static_cast<std::size_t>(zone.state);
  reader.ReadEnum("state", Presence::kOptional, {"in", "out"}, &state);
  zone.state = static_cast<ZoneState>(state);
  return zone;
}

Resource ReadResource(ResourceKind kind,
                      ObjectReader& reader,
                      UnknownFields unknown,
                      std::vector<Error>* errors) {
  switch (kind) {
    case ResourceKind::kOrganisation:
      return ReadOrganisation(reader);
    case ResourceKind::kService:
      return ReadService(reader, unknown, errors);
    case ResourceKind::kServer:
      return ReadServer(reader);
    case ResourceKind::kZone:
      break;
  }
  return ReadZone(reader);
}

void ReadClaims(const json& claims,
                const std::string& path,
                std::vector<Error>* errors,
                AddressClaims* target) {
  for (const auto& [text, version] : claims.items()) {
    Endpoint address;
    if (!ReadEndpointValue(text, FieldPath(path, text), errors, &address)) {
      continue;
    }
    if (!version.is_number_unsigned()) {
      errors->push_back({ResultCode::kInvalidField, FieldPath(path, text),
                         "must be a version: an unsigned integer"});
      continue;
    }
    target->emplace(address, version.get<Version>());
  }
}

json EncodeOrganisation(const Organisation& organisation) {
  return {{"name", organisation.name},
          {"token_sha256", organisation.token_sha256}};
}

json EncodeService(const Service& service) {
  json addresses = json::array();
  for (const Endpoint& address : service.addresses) {
    addresses.push_back(gcw::ToString(address));
  }
  json servers = json::array();
  for (const ServiceMember& member : service.servers) {
    servers.push_back({{"server", member.server}, {"weight", member.weight}});
  }
  return {{"name", service.name},
          {"organisation", service.organisation},
          {"kind", ToString(service.kind)},
          {"addresses", std::move(addresses)},
          {"servers", std::move(servers)},
          {"limits",
           {{"queue", service.limits.queue},
            {"flow_idle_seconds", service.limits.flow_idle_seconds}}}};
}

json EncodeServer(const BackendServer& server) {
  return {{"name", server.name},
          {"organisation", server.organisation},
          {"address", gcw::ToString(server.address)},
          {"zone", server.zone},
          {"slots", server.slots},
          {"connections", server.connections},
          {"state", ToString(server.state)}};
}

json EncodeZone(const AvailabilityZone& zone) {
  return {{"name", zone.name}, {"state", ToString(zone.state)}};
}

struct SpecEncoder {
  json operator()(const Organisation& organisation) const {
    return EncodeOrganisation(organisation);
  }
  json operator()(const Service& service) const {
    return EncodeService(service);
  }
  json operator()(const BackendServer& server) const {
    return EncodeServer(server);
  }
  json operator()(const AvailabilityZone& zone) const {
    return EncodeZone(zone);
  }
};

}  // namespace

std::string_view ToString(ResourceKind kind) {
  switch (kind) {
    case ResourceKind::kOrganisation:
      return "organisation";
    case ResourceKind::kService:
      return "service";
    case ResourceKind::kServer:
      return "server";
    case ResourceKind::kZone:
      return "zone";
  }
  return "unknown";
}

std::string KeyOf(const ResourceId& id) {
  return fmt::format("{}{}/{}", kConfigPrefix, ToString(id.kind), id.name);
}

std::optional<ResourceId> ParseKey(std::string_view key) {
  if (!key.starts_with(kConfigPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kConfigPrefix.size());
  for (ResourceKind kind : {ResourceKind::kOrganisation, ResourceKind::kService,
                            ResourceKind::kServer, ResourceKind::kZone}) {
    const std::string prefix = fmt::format("{}/", ToString(kind));
    if (key.starts_with(prefix) && IsName(key.substr(prefix.size()))) {
      return ResourceId{kind, std::string(key.substr(prefix.size()))};
    }
  }
  return std::nullopt;
}

ResourceKind KindOf(const Resource& resource) {
  return static_cast<ResourceKind>(resource.index());
}

const std::string& NameOf(const Resource& resource) {
  return std::visit([](const auto& r) -> const std::string& { return r.name; },
                    resource);
}

ResourceId IdOf(const Resource& resource) {
  return {KindOf(resource), NameOf(resource)};
}

std::string_view OwnerOf(const Resource& resource) {
  if (const auto* organisation = std::get_if<Organisation>(&resource)) {
    return organisation->name;
  }
  if (const auto* service = std::get_if<Service>(&resource)) {
    return service->organisation;
  }
  if (const auto* server = std::get_if<BackendServer>(&resource)) {
    return server->organisation;
  }
  return {};
}

Version VersionOf(const Resource& resource) {
  return std::visit([](const auto& r) { return r.version; }, resource);
}

DecodedResource DecodeSpec(ResourceKind kind,
                           const json& spec,
                           UnknownFields unknown) {
  DecodedResource decoded;
  ObjectReader reader(spec, "", &decoded.errors);
  Resource resource = ReadResource(kind, reader, unknown, &decoded.errors);
  if (unknown == UnknownFields::kRefuse) {
    reader.Finish();
  }
  if (decoded.errors.empty()) {
    decoded.resource = std::move(resource);
  }
  return decoded;
}

json EncodeSpec(const Resource& resource) {
  return std::visit(SpecEncoder{}, resource);
}

std::string EncodeStored(std::string_view op,
                         const Resource& resource,
                         const AddressClaims& claims) {
  json value = {{"op", std::string(op)}, {"spec", EncodeSpec(resource)}};
  for (const auto& [address, version] : claims) {
    value["claims"][gcw::ToString(address)] = version;
  }
  return value.dump();
}

Result<StoredObject> DecodeStored(const ResourceId& id,
                                  std::string_view value,
                                  Version version,
                                  Version created) {
  const Result<json> parsed = ParseJson(value);
  if (!parsed.ok()) {
    return parsed.error();
  }
  std::vector<Error> errors;
  StoredObject stored;
  ObjectReader reader(parsed.value(), "", &errors);
  reader.ReadString("op", Presence::kOptional, kMaxOpBytes, &stored.op);
  reader.ReadValue("claims", Presence::kOptional,
                   [&](const json& claims, const std::string& path) {
                     ReadClaims(claims, path, &errors, &stored.claims);
                   });
  DecodedResource decoded;
  reader.ReadValue(
      "spec", Presence::kRequired, [&](const json& spec, const std::string&) {
        decoded = DecodeSpec(id.kind, spec, UnknownFields::kIgnore);
      });
  errors.insert(errors.end(), decoded.errors.begin(), decoded.errors.end());
  if (!errors.empty()) {
    return errors.front();
  }
  stored.resource = std::move(*decoded.resource);
  if (NameOf(stored.resource) != id.name) {
    return Error{ResultCode::kInvalidField, "name",
                 fmt::format("the spec has the name '{}', but the key has '{}'",
                             NameOf(stored.resource), id.name)};
  }
  std::visit([&](auto& r) { r.version = version; }, stored.resource);
  if (auto* server = std::get_if<BackendServer>(&stored.resource)) {
    server->created = created;
  }
  return stored;
}

}  // namespace gcw::config
