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
constexpr absl::Duration kTick = absl::Milliseconds(250);
constexpr absl::Duration kReportInterval = absl::Seconds(5);
constexpr absl::Duration kVmsInterval = absl::Seconds(10);
// An unchanged status is written again this often, so that its age tells
// operators whether the zone can be reached.
constexpr absl::Duration kRewriteInterval = absl::Seconds(30);
constexpr int kCallsPerTick = 2;
constexpr absl::Duration kCallTimeout = absl::Seconds(2);

// The platform as the store of leases.
class PlatformLeaseStore : public lease::LeaseStore {
 public:
  explicit PlatformLeaseStore(platform::PlatformClient& client)
      : client_(client) {}

  Result<lease::StoredObject> Read(std::string_view key) override {
    auto object = client_.Get(key);
    if (object.ok()) {
      return lease::StoredObject{object.value().version, object.value().value};
    }
    if (object.error().code == ResultCode::kNotFound) {
      return lease::StoredObject{};
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

class SteadyClock : public lease::MonotonicClock {
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
        zone_(settings.zone) {}

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
    loop.AddTimer(kTick, [this] { OnTick(); });
    loop.AddTimer(kReportInterval, [this] { Report(); });
    loop.AddTimer(kVmsInterval, [this] { ReadVms(); });
    return kernel_.Register<StatusWriterMessage>(kStatusWriterService,
                                                 mailbox_);
  }

  // Thread-safe.
  void CutCall() { client_->CancelCall(); }

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
    lease::Drive(*lease_, store_, clock_, kCallsPerTick);
    const bool held = lease_->Held(kernel::MonotonicNow());
    if (held != held_) {
      held_ = held;
      kLog.Info("{} the status lease of {}", held ? "holds" : "lost",
                settings_.zone);
    }
    for (const auto& outcome : lease_->TakeOutcomes()) {
      if (!outcome.result.ok()) {
        kLog.Warning("status not written: {}",
                     ToString(outcome.result.error()));
      }
    }
  }

  void Report() {
    const json report = ReportOf(GatherStatus(settings_, kernel_));
    const absl::Time now = kernel::MonotonicNow();
    zone_.Add(settings_.name, report, now);
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
    if (!lease_->Held(now)) {
      return;
    }
    const json status = zone_.Build(members_, now, absl::Now());
    json content = status;
    content.erase("at");
    if (content == written_ && now - written_at_ < kRewriteInterval) {
      return;
    }
    const Status started = lease_->FencedWrite(status_key_, status.dump(), now);
    if (started.ok()) {
      written_ = std::move(content);
      written_at_ = now;
    }
  }

  // Also without other members, for a daemon that starts with no seeds.
  void ReadVms() {
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
    candidates_ = StatusCandidates(members_, settings_.zone);
    const bool gives_up = !IsCandidate() || changed.self_leaving;
    if (was_candidate && gives_up && held_) {
      lease_->Release();
      lease::Drive(*lease_, store_, clock_, kCallsPerTick);
      held_ = false;
    }
  }

  void OnMessage(PeerBytes& received) {
    const json report = json::from_cbor(received.bytes, true, false);
    if (!report.is_discarded()) {
      zone_.Add(received.from, report, kernel::MonotonicNow());
    }
  }

  const Settings settings_;
  const std::uint64_t seed_;
  kernel::Kernel& kernel_;
  const std::string status_key_;
  const std::unique_ptr<platform::HttpPlatformClient> client_;
  PlatformLeaseStore store_;
  SteadyClock clock_;
  std::shared_ptr<kernel::Mailbox<StatusWriterMessage>> mailbox_;
  std::unique_ptr<lease::Lease> lease_;
  ZoneStatus zone_;
  std::vector<membership::Member> members_;
  std::vector<std::string> candidates_;
  bool held_ = false;
  json written_;
  absl::Time written_at_ = absl::InfinitePast();
};

StatusWriterTask::StatusWriterTask(const Settings& settings,
                                   std::uint64_t seed,
                                   kernel::Kernel& kernel)
    : Task("status"), impl_(std::make_unique<Impl>(settings, seed, kernel)) {}

StatusWriterTask::~StatusWriterTask() {
  impl_->CutCall();
  Stop();
}

Status StatusWriterTask::Setup(kernel::EventLoop& loop) {
  return impl_->Setup(loop);
}

}  // namespace gcw::balancer
