#include "src/balancer/status_writer_task.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"
#include "gcw/base/log.h"
#include "gcw/kernel/mailbox.h"
#include "gcw/lease/lease.h"
#include "gcw/platform/http_platform_client.h"
#include "src/balancer/gather_status.h"
#include "src/balancer/zone_status.h"

namespace gcw::balancer {
namespace {

using nlohmann::json;

constexpr Logger kLog("status");
constexpr std::size_t kMailboxCapacity = 10'000;
constexpr absl::Duration kTickInterval = absl::Milliseconds(250);
// How often a daemon reports to the candidates of its zone.
constexpr absl::Duration kReportInterval = absl::Seconds(5);
// How often the platform's list of VMs is read to find other daemons.
constexpr absl::Duration kVmListInterval = absl::Seconds(10);
// An unchanged status is written again after this time, so that its age shows
// operators whether the zone still reaches the platform.
constexpr absl::Duration kRewriteInterval = absl::Seconds(30);
// Maximum number of platform calls for the lease per tick.
constexpr int kCallsPerTick = 2;
// A platform call without an answer fails after this time.
constexpr absl::Duration kCallTimeout = absl::Seconds(2);

// Stores leases as objects of the platform.
class PlatformLeaseStore : public lease::LeaseStore {
 public:
  explicit PlatformLeaseStore(platform::PlatformClient& client)
      : client_(client) {}

  Result<lease::StoredObject> Read(std::string_view key) override {
    auto object = client_.Get(key);
    if (object.ok()) {
      return lease::StoredObject{object.value().version, object.value().value,
                                 client_.epoch()};
    }
    if (object.error().code == ResultCode::kNotFound) {
      return lease::StoredObject{0, "", client_.epoch()};
    }
    return object.error();
  }

  Result<lease::Version> PutIf(std::string_view key,
                               std::string_view json,
                               lease::Version if_version) override {
    return client_.Put(key, json, if_version);
  }

 private:
  platform::PlatformClient& client_;
};

class KernelMonotonicClock : public lease::MonotonicClock {
 public:
  absl::Time Now() override { return kernel::MonotonicNow(); }
};

lease::Options LeaseOptions(const Settings& settings,
                            const std::string& status_key) {
  lease::Options options;
  options.key = "lease/status-" + settings.zone;
  options.holder =
      settings.name + "@" + std::to_string(absl::ToUnixMillis(absl::Now()));
  options.guarded_keys = {status_key};
  return options;
}

}  // namespace

class StatusWriterTask::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed, kernel::Kernel& kernel)
      : settings_(settings),
        seed_(seed),
        kernel_(kernel),
        status_key_("status/zone/" + settings.zone),
        client_(MakeClient(settings)),
        store_(*client_),
        zone_status_(settings.zone) {}

  Status Setup(kernel::EventLoop& loop) {
    auto mailbox = kernel::Mailbox<StatusWriterMessage>::Make(kMailboxCapacity);
    if (!mailbox.ok()) {
      return mailbox.error();
    }
    mailbox_ = std::move(mailbox).value();
    Status attached =
        mailbox_->Attach(loop, [this](StatusWriterMessage& message) {
          std::visit([this](auto& m) { OnMessage(m); }, message);
        });
    if (!attached.ok()) {
      return attached;
    }
    auto lease =
        lease::Lease::Make(LeaseOptions(settings_, status_key_), seed_);
    if (!lease.ok()) {
      return lease.error();
    }
    lease_ = std::move(lease).value();
    loop.AddTimer(kTickInterval, [this] { OnTick(); });
    loop.AddTimer(kReportInterval, [this] { SendReport(); });
    loop.AddTimer(kVmListInterval, [this] { ReadVmList(); });
    return kernel_.Register<StatusWriterMessage>(kStatusWriterService,
                                                 mailbox_);
  }

  // Aborts the platform call in progress, if any. Thread-safe.
  void CancelCall() { client_->CancelCall(); }

 private:
  static std::unique_ptr<platform::HttpPlatformClient> MakeClient(
      const Settings& settings) {
    platform::HttpPlatformOptions options;
    options.platform = settings.platform;
    options.bind_ip = settings.bind;
    options.call_timeout = kCallTimeout;
    return platform::HttpPlatformClient::Make(options);
  }

  bool IsCandidate() const {
    return std::binary_search(candidates_.begin(), candidates_.end(),
                              settings_.name);
  }

  void OnTick() {
    if (!IsCandidate()) {
      return;
    }
    lease::ExecuteStoreCalls(*lease_, store_, clock_, kCallsPerTick);
    const bool held = lease_->IsHeld(kernel::MonotonicNow());
    if (held != held_) {
      held_ = held;
      kLog.Info("{} the status lease of zone {}", held ? "holds" : "lost",
                settings_.zone);
    }
    for (const auto& outcome : lease_->TakeOutcomes()) {
      if (!outcome.result.ok()) {
        kLog.Warning("zone status not written: {}",
                     ToString(outcome.result.error()));
      }
    }
  }

  void SendReport() {
    const json report = MakeDaemonReport(GatherStatus(settings_, kernel_));
    const absl::Time now = kernel::MonotonicNow();
    zone_status_.Add(settings_.name, report, now);
    const std::vector<std::uint8_t> bytes = json::to_cbor(report);
    const auto cluster = kernel_.Find<ClusterMessage>(kClusterService);
    for (const std::string& candidate : candidates_) {
      if (candidate != settings_.name && cluster.ok()) {
        cluster.value()->Send(
            SendControl{candidate, control::MessageType::kStatus, bytes});
      }
    }
    if (IsCandidate()) {
      Write(now);
    }
  }

  void Write(absl::Time now) {
    if (!lease_->IsHeld(now)) {
      return;
    }
    const json status = zone_status_.Build(members_, now, absl::Now());
    json content = status;
    content.erase("at");
    if (content == last_written_ && now - last_written_at_ < kRewriteInterval) {
      return;
    }
    const Status write_started =
        lease_->FencedWrite(status_key_, status.dump(), now);
    if (write_started.ok()) {
      last_written_ = std::move(content);
      last_written_at_ = now;
    }
  }

  // Reads the platform's list of VMs and passes it to the membership as seeds.
  // A daemon that knows no other members does so even if it is no candidate,
  // because it may have been started without seeds.
  void ReadVmList() {
    if (!IsCandidate() && members_.size() > 1) {
      return;
    }
    const auto vms = client_->Vms();
    if (!vms.ok()) {
      return;
    }
    PlatformVms seeds;
    for (const platform::Vm& vm : vms.value()) {
      const auto ip = ParseIp(vm.address);
      if (ip.ok() && vm.name != settings_.name) {
        seeds.seeds.push_back(
            {vm.name, vm.zone, {ip.value(), settings_.ports.membership}});
      }
    }
    const auto cluster = kernel_.Find<ClusterMessage>(kClusterService);
    if (cluster.ok()) {
      cluster.value()->Send(std::move(seeds));
    }
  }

  void OnMessage(MembersChanged& changed) {
    members_ = std::move(changed.members);
    const bool was_candidate = IsCandidate();
    candidates_ = StatusWriterCandidates(members_, settings_.zone);
    const bool must_release = !IsCandidate() || changed.self_leaving;
    if (was_candidate && must_release && held_) {
      lease_->Release();
      lease::ExecuteStoreCalls(*lease_, store_, clock_, kCallsPerTick);
      held_ = false;
    }
  }

  void OnMessage(ControlPayload& received) {
    const json report = json::from_cbor(received.bytes, true, false);
    if (!report.is_discarded()) {
      zone_status_.Add(received.from, report, kernel::MonotonicNow());
    }
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  const std::string status_key_;
  const std::unique_ptr<platform::HttpPlatformClient> client_;
  PlatformLeaseStore store_;
  KernelMonotonicClock clock_;
  std::shared_ptr<kernel::Mailbox<StatusWriterMessage>> mailbox_;
  std::unique_ptr<lease::Lease> lease_;
  ZoneStatus zone_status_;
  std::vector<membership::Member> members_;
  std::vector<std::string> candidates_;
  bool held_ = false;
  json last_written_;
  absl::Time last_written_at_ = absl::InfinitePast();
};

StatusWriterTask::StatusWriterTask(const Settings& settings,
                                   std::uint64_t seed,
                                   kernel::Kernel& kernel)
    : Task("status"), impl_(std::make_unique<Impl>(settings, seed, kernel)) {}

StatusWriterTask::~StatusWriterTask() {
  impl_->CancelCall();
  Stop();
}

Status StatusWriterTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
