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

// A decoded object, kept until the object is written again or deleted.
struct CachedObject {
  Version version = 0;
  Version created = 0;
  Result<StoredObject> decoded;
};

// Decoded objects by key.
using Cache = std::map<std::string, CachedObject>;

// A service or backend server that has a given address in its spec.
struct AddressHolder {
  ResourceId id;
  Version claim = 0;    // Claim version of the address; 0 if there is no claim.
  Version version = 0;  // Version of the resource.

  // Returns whether the address belongs to `other` rather than to this
  // resource.
  bool HasLowerPriorityThan(const AddressHolder& other) const {
    return std::tie(claim, version) < std::tie(other.claim, other.version);
  }
};

// Collects decoded objects, resolves conflicts between them and returns the
// resulting snapshot.
class SnapshotDraft {
 public:
  // Adds the object at `key`, or reports the error if it could not be decoded.
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

  // Makes each address belong to one resource. To be called after all objects
  // have been added.
  void ResolveAddresses() {
    const std::map<Endpoint, AddressHolder> owners = FindAddressOwners();
    for (auto& [name, service] : snapshot_->services) {
      RemoveLostAddresses(owners, &service);
    }
    RemoveServersWithLostAddress(owners);
  }

  // Removes backend servers of another organisation from each service.
  void RemoveMembersOfOtherOrganisations() {
    for (auto& [name, service] : snapshot_->services) {
      const auto belongs_to_other =
          [&, &organisation = service.organisation](const auto& member) {
            return BelongsToOtherOrganisation(organisation, member);
          };
      const auto first_removed = std::remove_if(
          service.servers.begin(), service.servers.end(), belongs_to_other);
      if (first_removed != service.servers.end()) {
        Report({ResourceKind::kService, name}, ResultCode::kForbidden,
               "servers",
               "backend servers of another organisation were removed");
        service.servers.erase(first_removed, service.servers.end());
      }
    }
  }

  // Returns the snapshot at `revision`, or at the largest version of a record
  // if that is larger.
  BuiltSnapshot Finish(Version revision) {
    snapshot_->revision = std::max(revision, largest_version_);
    std::sort(problems_.begin(), problems_.end(),
              [](const auto& a, const auto& b) { return a.key < b.key; });
    return {std::move(snapshot_), std::move(problems_)};
  }

  void UpdateLargestVersion(Version version) {
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

  // Returns the resource that each address in the configuration belongs to.
  std::map<Endpoint, AddressHolder> FindAddressOwners() const {
    std::map<Endpoint, AddressHolder> owners;
    const auto add_candidate = [&](const Endpoint& address,
                                   const ResourceId& id, Version version) {
      const AddressHolder holder{id, ClaimOf(id, address), version};
      const auto [it, is_new] = owners.emplace(address, holder);
      if (!is_new && it->second.HasLowerPriorityThan(holder)) {
        it->second = holder;
      }
    };
    for (const auto& [name, service] : snapshot_->services) {
      for (const Endpoint& address : service.addresses) {
        add_candidate(address, {ResourceKind::kService, name}, service.version);
      }
    }
    for (const auto& [name, server] : snapshot_->servers) {
      add_candidate(server.address, {ResourceKind::kServer, name},
                    server.version);
    }
    return owners;
  }

  // Returns the claim version of `address` in the resource `id`, or 0 if the
  // resource has no claim.
  Version ClaimOf(const ResourceId& id, const Endpoint& address) const {
    const auto it = claims_.find({id, address});
    return it == claims_.end() ? 0 : it->second;
  }

  // Removes the addresses of `service` that belong to another resource.
  void RemoveLostAddresses(const std::map<Endpoint, AddressHolder>& owners,
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

  // Removes backend servers whose address belongs to another resource.
  void RemoveServersWithLostAddress(
      const std::map<Endpoint, AddressHolder>& owners) {
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

  // Returns whether the backend server of `member` belongs to another
  // organisation than `organisation`. A shared server belongs to none.
  bool BelongsToOtherOrganisation(const std::string& organisation,
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
  // Claim version by resource and address.
  std::map<std::pair<ResourceId, Endpoint>, Version> claims_;
  std::vector<ObjectProblem> problems_;
  Version largest_version_ = 0;
};

}  // namespace

class SnapshotBuilder::Impl {
 public:
  BuiltSnapshot Build(std::span<const ObjectRecord> records, Version revision) {
    Cache next;
    SnapshotDraft draft;
    for (const ObjectRecord& record : records) {
      draft.UpdateLargestVersion(record.version);
      const std::optional<ResourceId> id = ParseKey(record.key);
      if (id.has_value()) {
        CachedObject object = Decode(*id, record);
        draft.Add(record.key, object.decoded);
        next.insert_or_assign(record.key, std::move(object));
      }
    }
    cache_ = std::move(next);
    draft.ResolveAddresses();
    draft.RemoveMembersOfOtherOrganisations();
    return draft.Finish(revision);
  }

 private:
  // Takes the decoded object from the cache, or decodes `record` if the cache
  // does not have this version of the object.
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
