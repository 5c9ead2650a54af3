#include "gcw/config/validate.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

namespace gcw::config {
namespace {

// Checks one change against `snapshot` and collects the errors.
class Validator {
 public:
  explicit Validator(const Snapshot& snapshot) : snapshot_(snapshot) {}

  // Checks a change that creates or replaces a resource.
  void CheckWrite(const Change& change) {
    const Resource& after = *change.after;
    CheckSize(after);
    if (const auto* service = std::get_if<Service>(&after)) {
      CheckService(*service);
    } else if (const auto* server = std::get_if<BackendServer>(&after)) {
      CheckServer(*server);
    }
    const std::optional<Resource> before =
        change.before.has_value() ? change.before
                                  : FindResource(snapshot_, change.id);
    if (before.has_value()) {
      CheckImmutableFields(*before, after);
    }
  }

  // Checks that no other resource refers to the resource to be deleted.
  void CheckDelete(const ResourceId& id) {
    switch (id.kind) {
      case ResourceKind::kOrganisation:
        CheckOrganisationUnused(id.name);
        return;
      case ResourceKind::kServer:
        CheckServerUnused(id.name);
        return;
      case ResourceKind::kZone:
        CheckZoneUnused(id.name);
        return;
      case ResourceKind::kService:
        return;  // No resource refers to a service.
    }
  }

  std::vector<Error> errors() && { return std::move(errors_); }

 private:
  void CheckSize(const Resource& after) {
    const std::size_t size = EncodeSpec(after).dump().size();
    if (size > kMaxValueBytes) {
      Report(ResultCode::kTooLarge, "",
             fmt::format("the spec has {} bytes, the maximum is {}", size,
                         kMaxValueBytes));
    }
  }

  void CheckService(const Service& service) {
    CheckOrganisationExists(service.organisation);
    for (std::size_t i = 0; i < service.addresses.size(); ++i) {
      CheckAddress({ResourceKind::kService, service.name}, service.addresses[i],
                   fmt::format("addresses[{}]", i));
    }
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
      CheckMember(service, service.servers[i].server,
                  fmt::format("servers[{}].server", i));
    }
  }

  void CheckServer(const BackendServer& server) {
    if (!server.organisation.empty()) {
      CheckOrganisationExists(server.organisation);
    }
    if (!snapshot_.zones.contains(server.zone)) {
      Report(ResultCode::kBrokenReference, "zone",
             fmt::format("there is no availability zone '{}'", server.zone));
    }
    CheckAddress({ResourceKind::kServer, server.name}, server.address,
                 "address");
  }

  void CheckOrganisationExists(const std::string& organisation) {
    if (!snapshot_.organisations.contains(organisation)) {
      Report(ResultCode::kBrokenReference, "organisation",
             fmt::format("there is no organisation '{}'", organisation));
    }
  }

  void CheckMember(const Service& service,
                   const std::string& name,
                   std::string field) {
    const auto it = snapshot_.servers.find(name);
    if (it == snapshot_.servers.end()) {
      Report(ResultCode::kBrokenReference, std::move(field),
             fmt::format("there is no backend server '{}'", name));
      return;
    }
    const std::string& owner = it->second.organisation;
    if (!owner.empty() && owner != service.organisation) {
      Report(ResultCode::kForbidden, std::move(field),
             fmt::format("backend server '{}' belongs to another organisation",
                         name));
    }
  }

  // Reports an error for `field` if a resource other than `id` has `address`.
  void CheckAddress(const ResourceId& id,
                    const Endpoint& address,
                    const std::string& field) {
    for (const auto& [name, service] : snapshot_.services) {
      const ResourceId other{ResourceKind::kService, name};
      for (const Endpoint& claimed : service.addresses) {
        if (claimed == address && other != id) {
          ReportClaimed(field, address);
        }
      }
    }
    for (const auto& [name, server] : snapshot_.servers) {
      const ResourceId other{ResourceKind::kServer, name};
      if (server.address == address && other != id) {
        ReportClaimed(field, address);
      }
    }
  }

  // Reports changes of fields that are immutable. If the address, zone or
  // organisation of a backend server could change, its traffic would move to
  // another VM or owner while the server kept its incarnation.
  void CheckImmutableFields(const Resource& before, const Resource& after) {
    if (OwnerOf(before) != OwnerOf(after)) {
      ReportImmutable("organisation");
    }
    const auto* old_server = std::get_if<BackendServer>(&before);
    const auto* new_server = std::get_if<BackendServer>(&after);
    if (old_server == nullptr || new_server == nullptr) {
      return;
    }
    if (old_server->address != new_server->address) {
      ReportImmutable("address");
    }
    if (old_server->zone != new_server->zone) {
      ReportImmutable("zone");
    }
  }

  void CheckOrganisationUnused(const std::string& organisation) {
    for (const auto& [name, service] : snapshot_.services) {
      if (service.organisation == organisation) {
        ReportReferenced("service", name);
      }
    }
    for (const auto& [name, server] : snapshot_.servers) {
      if (server.organisation == organisation) {
        ReportReferenced("backend server", name);
      }
    }
  }

  void CheckServerUnused(const std::string& server) {
    for (const auto& [name, service] : snapshot_.services) {
      for (const ServiceMember& member : service.servers) {
        if (member.server == server) {
          ReportReferenced("service", name);
        }
      }
    }
  }

  void CheckZoneUnused(const std::string& zone) {
    for (const auto& [name, server] : snapshot_.servers) {
      if (server.zone == zone) {
        ReportReferenced("backend server", name);
      }
    }
  }

  // Reports that `address` is in use. The message does not name the resource
  // that uses it, which may belong to another organisation.
  void ReportClaimed(const std::string& field, const Endpoint& address) {
    Report(ResultCode::kAddressClaimed, field,
           fmt::format("{} is claimed by another service or backend server",
                       gcw::ToString(address)));
  }

  void ReportImmutable(std::string field) {
    Report(ResultCode::kInvalidField, std::move(field),
           "is immutable; delete the resource and create it again");
  }

  void ReportReferenced(std::string_view kind, std::string_view name) {
    Report(ResultCode::kStillReferenced, "",
           fmt::format("{} '{}' still refers to it", kind, name));
  }

  void Report(ResultCode code, std::string field, std::string message) {
    errors_.push_back({code, std::move(field), std::move(message)});
  }

  const Snapshot& snapshot_;
  std::vector<Error> errors_;
};

template <typename T>
std::optional<Resource> FindIn(
    const std::map<std::string, T, std::less<>>& resources,
    const std::string& name) {
  const auto it = resources.find(name);
  if (it == resources.end()) {
    return std::nullopt;
  }
  return Resource(it->second);
}

}  // namespace

std::vector<Error> ValidateChange(const Snapshot& snapshot,
                                  const Change& change) {
  Validator validator(snapshot);
  if (change.after.has_value()) {
    validator.CheckWrite(change);
  } else {
    validator.CheckDelete(change.id);
  }
  return std::move(validator).errors();
}

std::vector<Endpoint> AddressesOf(const Resource& resource) {
  if (const auto* service = std::get_if<Service>(&resource)) {
    return service->addresses;
  }
  if (const auto* server = std::get_if<BackendServer>(&resource)) {
    return {server->address};
  }
  return {};
}

std::optional<Resource> FindResource(const Snapshot& snapshot,
                                     const ResourceId& id) {
  switch (id.kind) {
    case ResourceKind::kOrganisation:
      return FindIn(snapshot.organisations, id.name);
    case ResourceKind::kService:
      return FindIn(snapshot.services, id.name);
    case ResourceKind::kServer:
      return FindIn(snapshot.servers, id.name);
    case ResourceKind::kZone:
      break;
  }
  return FindIn(snapshot.zones, id.name);
}

}  // namespace gcw::config
