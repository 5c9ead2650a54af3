#include "gcw/config/snapshot_builder.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>
#include <variant>

#include "gcw/config/codec.h"

namespace gcw::config {
namespace {

// An object of one version, decoded once.
struct CachedObject {
  Version version = 0;
  Version created = 0;
  Result<StoredObject> decoded;
};

using Cache = std::map<std::string, CachedObject>;

// A user of an address: a service or a backend server.
struct AddressUser {
  ResourceId id;
  Version claim = 0;
  Version version = 0;

  bool IsBefore(const AddressUser& other) const {
    return std::tie(claim, version) < std::tie(other.claim, other.version);
  }
};

// The snapshot while it is being built.
class Draft {
 public:
  void Add(const std::string& key, const Result<StoredObject>& decoded) {
    if (!decoded.ok()) {
      problems_.push_back({key, decoded.error()});
      return;
    }
    const StoredObject& object = decoded.value();
    std::visit([this](const auto& r) { Insert(r); }, object.resource);
    for (const auto& [address, claim] : object.claims) {
      claims_[{IdOf(object.resource), address}] = claim;
    }
  }

  void ResolveAddresses() {
    const std::map<Endpoint, AddressUser> owners = Owners();
    for (auto& [name, service] : snapshot_->services) {
      KeepOwnAddresses(owners, &service);
    }
    DropServersWithoutAddress(owners);
  }

  void DropForeignMembers() {
    for (auto& [name, service] : snapshot_->services) {
      const auto is_foreign =
          [&, &organisation = service.organisation](const auto& member) {
            return IsForeign(organisation, member);
          };
      const auto cut = std::remove_if(service.servers.begin(),
                                      service.servers.end(), is_foreign);
      if (cut != service.servers.end()) {
        Report({ResourceKind::kService, name}, ResultCode::kForbidden,
               "servers",
               "a backend server of another organisation is left out");
        service.servers.erase(cut, service.servers.end());
      }
    }
  }

  BuiltSnapshot Finish(Version revision) {
    snapshot_->revision = std::max(revision, largest_version_);
    std::sort(problems_.begin(), problems_.end(),
              [](const auto& a, const auto& b) { return a.key < b.key; });
    return {std::move(snapshot_), std::move(problems_)};
  }

  void NoteVersion(Version version) {
    largest_version_ = std::max(largest_version_, version);
  }

 private:
  void Insert(const Organisation& organisation) {
    snapshot_->organisations.emplace(organisation.name, organisation);
  }
  void Insert(const Service& service) {
    snapshot_->services.emplace(service.name, service);
  }
  void Insert(const BackendServer& server) {
    snapshot_->servers.emplace(server.name, server);
  }
  void Insert(const AvailabilityZone& zone) {
    snapshot_->zones.emplace(zone.name, zone);
  }

  std::map<Endpoint, AddressUser> Owners() const {
    std::map<Endpoint, AddressUser> owners;
    const auto offer = [&](const Endpoint& address, const ResourceId& id,
                           Version version) {
      const AddressUser user{id, ClaimOf(id, address), version};
      const auto [it, is_new] = owners.emplace(address, user);
      if (!is_new && it->second.IsBefore(user)) {
        it->second = user;
      }
    };
    for (const auto& [name, service] : snapshot_->services) {
      for (const Endpoint& address : service.addresses) {
        offer(address, {ResourceKind::kService, name}, service.version);
      }
    }
    for (const auto& [name, server] : snapshot_->servers) {
      offer(server.address, {ResourceKind::kServer, name}, server.version);
    }
    return owners;
  }

  Version ClaimOf(const ResourceId& id, const Endpoint& address) const {
    const auto it = claims_.find({id, address});
    return it == claims_.end() ? 0 : it->second;
  }

  void KeepOwnAddresses(const std::map<Endpoint, AddressUser>& owners,
                        Service* service) {
    const ResourceId id{ResourceKind::kService, service->name};
    std::erase_if(service->addresses, [&](const Endpoint& address) {
      if (owners.at(address).id == id) {
        return false;
      }
      ReportClaimed(id, "addresses", address, owners.at(address).id);
      return true;
    });
  }

  void DropServersWithoutAddress(
      const std::map<Endpoint, AddressUser>& owners) {
    std::erase_if(snapshot_->servers, [&](const auto& entry) {
      const ResourceId id{ResourceKind::kServer, entry.first};
      const Endpoint& address = entry.second.address;
      if (owners.at(address).id == id) {
        return false;
      }
      ReportClaimed(id, "address", address, owners.at(address).id);
      return true;
    });
  }

  bool IsForeign(const std::string& organisation,
                 const ServiceMember& member) const {
    const auto it = snapshot_->servers.find(member.server);
    if (it == snapshot_->servers.end()) {
      return false;
    }
    return !it->second.organisation.empty() &&
           it->second.organisation != organisation;
  }

  void ReportClaimed(const ResourceId& id,
                     std::string field,
                     const Endpoint& address,
                     const ResourceId& owner) {
    Report(id, ResultCode::kAddressClaimed, std::move(field),
           fmt::format("{} belongs to {} {}", gcw::ToString(address),
                       ToString(owner.kind), owner.name));
  }

  void Report(const ResourceId& id,
              ResultCode code,
              std::string field,
              std::string message) {
    problems_.push_back(
        {KeyOf(id), {code, std::move(field), std::move(message)}});
  }

  std::shared_ptr<Snapshot> snapshot_ = std::make_shared<Snapshot>();
  std::map<std::pair<ResourceId, Endpoint>, Version> claims_;
  std::vector<ObjectProblem> problems_;
  Version largest_version_ = 0;
};

}  // namespace

class SnapshotBuilder::Impl {
 public:
  BuiltSnapshot Build(std::span<const ObjectRecord> records, Version revision) {
    Cache next;
    Draft draft;
    for (const ObjectRecord& record : records) {
      draft.NoteVersion(record.version);
      const std::optional<ResourceId> id = ParseKey(record.key);
      if (id.has_value()) {
        CachedObject object = Decode(*id, record);
        draft.Add(record.key, object.decoded);
        next.insert_or_assign(record.key, std::move(object));
      }
    }
    cache_ = std::move(next);
    draft.ResolveAddresses();
    draft.DropForeignMembers();
    return draft.Finish(revision);
  }

 private:
  CachedObject Decode(const ResourceId& id, const ObjectRecord& record) {
    const auto it = cache_.find(record.key);
    if (it != cache_.end() && it->second.version == record.version &&
        it->second.created == record.created) {
      CachedObject object = std::move(it->second);
      cache_.erase(it);
      return object;
    }
    return {record.version, record.created,
            DecodeStored(id, record.value, record.version, record.created)};
  }

  Cache cache_;
};

SnapshotBuilder::SnapshotBuilder() : impl_(std::make_unique<Impl>()) {}
SnapshotBuilder::~SnapshotBuilder() = default;
SnapshotBuilder::SnapshotBuilder(SnapshotBuilder&&) noexcept = default;
SnapshotBuilder& SnapshotBuilder::operator=(SnapshotBuilder&&) noexcept =
    default;

BuiltSnapshot SnapshotBuilder::Build(std::span<const ObjectRecord> records,
                                     Version revision) {
  return impl_->Build(records, revision);
}

BuiltSnapshot BuildSnapshot(std::span<const ObjectRecord> records,
                            Version revision) {
  return SnapshotBuilder().Build(records, revision);
}

}  // namespace gcw::config
