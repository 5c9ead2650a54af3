#include "src/fake_platform/fake_platform.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "src/daemon/connection_thread_pool.h"
#include "src/fake_platform/answers.h"

namespace gcw::fake_platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConnections = 2000;
constexpr std::size_t kMaxCallsPerConnection = 10'000'000;
constexpr int kKeepAliveTimeoutSeconds = 20;
// The connection of a call that is to get no answer is closed after this time,
// which is longer than the timeout of any caller.
constexpr absl::Duration kNoAnswerDelay = absl::Seconds(30);
constexpr absl::Duration kMaxWatchWait = absl::Seconds(120);
constexpr char kJsonContentType[] = "application/json";

void Answer(int status,
            const json& body,
            httplib::Response* response,
            const RawValues& values = {}) {
  response->status = status;
  response->body = values.InsertInto(body.dump());
  response->set_header("Content-Type", kJsonContentType);
}

RawValues ValuesOf(const Listing& listing) {
  RawValues values;
  for (const Object& object : listing.objects) {
    values.Add(object);
  }
  return values;
}

RawValues ValuesOf(const WatchAnswer& answer) {
  RawValues values;
  for (const WatchEvent& event : answer.events) {
    values.Add(event.object);
  }
  return values;
}

// Closes the connection before the response is complete. For the caller this is
// the same as a response that never came.
void SendIncompleteAnswer(httplib::Response* response) {
  const auto fail_content = [](std::size_t, std::size_t, httplib::DataSink&) {
    return false;
  };
  response->body.clear();
  response->set_content_provider(1, kJsonContentType, fail_content);
}

// The VM list that was set at the time `since`.
struct VmListVersion {
  absl::Time since;
  std::vector<platform::Vm> vms;
};

}  // namespace

class FakePlatform::Impl {
 public:
  explicit Impl(const FakePlatformOptions& options)
      : options_(options),
        store_(options.max_log_events),
        stale_store_(options.max_log_events),
        saved_copy_(options.max_log_events),
        faults_(options.limits, options.seed) {}

  ~Impl() {
    {
      const absl::MutexLock lock(&mutex_);
      stopping_ = true;
      changed_.SignalAll();
    }
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Start() {
    server_.new_task_queue = [] {
      return new daemon::ConnectionThreadPool(kMaxConnections);
    };
    server_.set_keep_alive_max_count(kMaxCallsPerConnection);
    server_.set_keep_alive_timeout(kKeepAliveTimeoutSeconds);
    server_.set_payload_max_length(2 * kMaxStoredBytes);
    server_.set_tcp_nodelay(true);
    AddRoutes();
    const int port = daemon::BindServer(&server_, options_.listen);
    if (port == 0) {
      return false;
    }
    endpoint_ = {options_.listen.ip, static_cast<std::uint16_t>(port)};
    thread_ = daemon::ServeOnThread(&server_);
    return true;
  }

  Endpoint endpoint() const { return endpoint_; }

  // Runs `change` under the lock, then wakes all waiting calls.
  template <typename Change>
  auto Update(const Change& change) {
    const absl::MutexLock lock(&mutex_);
    auto result = change(*this);
    changed_.SignalAll();
    return result;
  }

  // Runs `read` under the lock and returns its result.
  template <typename Read>
  auto Inspect(const Read& read) const {
    const absl::MutexLock lock(&mutex_);
    return read(*this);
  }

  Store& store() { return store_; }
  const Store& store() const { return store_; }
  FaultInjector& faults() { return faults_; }
  void SaveStaleStore() { stale_store_ = store_; }
  void SaveCopy() { saved_copy_ = store_; }
  void Restore() { store_.RestoreFrom(saved_copy_); }
  void AddVms(std::vector<platform::Vm> vms) {
    vms_.push_back({absl::Now(), std::move(vms)});
  }
  const auto& calls() const { return calls_; }

 private:
  // Second since the epoch, IP address of the client, and kind of the call.
  using CallKey = std::tuple<std::int64_t, std::uint32_t, CallKind>;

  void AddRoutes() {
    const auto handle = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Handle(request, &response);
    };
    server_.Get(".*", handle);
    server_.Put(".*", handle);
    server_.Post(".*", handle);
    server_.Delete(".*", handle);
  }

  void Handle(const httplib::Request& request, httplib::Response* response) {
    const ApiHttpCall http{
        request.method, request.path, request.body,
        [&](const char* name) { return request.get_param_value(name); }};
    const std::optional<ApiCall> call = options_.format->Parse(http);
    if (!call) {
      Answer(404, json::object(), response);
      return;
    }
    Handle(*call, request, response);
  }

  void Handle(const ApiCall& call,
              const httplib::Request& request,
              httplib::Response* response) {
    const CallKind kind = call.kind;
    const Result<std::uint32_t> parsed = ParseIp(request.remote_addr);
    const std::uint32_t ip = parsed.ok() ? parsed.value() : 0;
    const absl::MutexLock lock(&mutex_);
    Count(kind, ip);
    const FaultDecision decision = faults_.Decide(kind, ip, absl::Now());
    WaitFor(decision.delay / 2);
    SetEpoch(store_, response);
    switch (decision.kind) {
      case FaultDecision::Kind::kUnavailable:
        Answer(503, json::object(), response);
        return;
      case FaultDecision::Kind::kRateLimited:
        Answer(429, json::object(), response);
        return;
      case FaultDecision::Kind::kNoAnswer:
        WaitFor(kNoAnswerDelay);
        SendIncompleteAnswer(response);
        return;
      case FaultDecision::Kind::kServe:
        break;
    }
    // A write is executed late if its condition still holds then.
    WaitFor(decision.late_by);
    Serve(call, decision, response);
    SetEpoch(StoreFor(decision), response);
    WaitFor(decision.delay / 2);
    // A partition or outage that began while the call was served also
    // suppresses its answer.
    if (decision.lose_answer || decision.late_by > absl::ZeroDuration() ||
        CannotBeAnswered(ip)) {
      SendIncompleteAnswer(response);
    }
  }

  // Sets the header with the epoch of the store that answers.
  void SetEpoch(const Store& store, httplib::Response* response) const {
    response->headers.erase(options_.format->EpochHeader());
    response->set_header(options_.format->EpochHeader(),
                         fmt::to_string(store.epoch()));
  }

  // Returns whether a partition or silent outage keeps answers from `ip`.
  bool CannotBeAnswered(std::uint32_t ip) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return faults_.IsPartitioned(ip) || faults_.outage() == Outage::kSilent;
  }

  void Count(CallKind kind, std::uint32_t ip)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (!faults_.IsPartitioned(ip)) {
      ++calls_[{absl::ToUnixSeconds(absl::Now()), ip, kind}];
    }
  }

  // Releases the lock for `duration`, or until the platform is stopped.
  void WaitFor(absl::Duration duration) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (duration <= absl::ZeroDuration()) {
      return;
    }
    const absl::Time until = absl::Now() + duration;
    while (!stopping_ && absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
    }
  }

  const Store& StoreFor(const FaultDecision& decision) const {
    return decision.answer_stale ? stale_store_ : store_;
  }

  void Serve(const ApiCall& call,
             const FaultDecision& decision,
             httplib::Response* response)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    switch (call.kind) {
      case CallKind::kList:
        ServeList(call, decision, response);
        return;
      case CallKind::kGet:
        ServeGet(call, decision, response);
        return;
      case CallKind::kPut:
        AnswerWrite(call.key, store_.Put(call.key, call.value, call.if_version),
                    response);
        return;
      case CallKind::kDelete:
        AnswerWrite(call.key, store_.Delete(call.key, call.if_version),
                    response);
        return;
      case CallKind::kWatch:
        ServeWatch(call, response);
        return;
      case CallKind::kVms:
        ServeVms(response);
        return;
    }
  }

  void ServeList(const ApiCall& call,
                 const FaultDecision& decision,
                 httplib::Response* response) {
    const StorePage page =
        StoreFor(decision).ListPage(call.prefix, call.list_after,
                                    {options_.page_size, options_.page_bytes});
    Answer(200, options_.format->ListAnswer(page.listing, page.more), response,
           ValuesOf(page.listing));
  }

  void ServeGet(const ApiCall& call,
                const FaultDecision& decision,
                httplib::Response* response) {
    const Result<Object> object = StoreFor(decision).Get(call.key);
    if (object.ok()) {
      RawValues values;
      values.Add(object.value());
      Answer(200, options_.format->ObjectAnswer(object.value()), response,
             values);
    } else {
      Answer(StatusOf(object.error().code), json::object(), response);
    }
  }

  void AnswerWrite(const std::string& key,
                   const Result<Version>& written,
                   httplib::Response* response) {
    if (!written.ok()) {
      Answer(StatusOf(written.error().code),
             options_.format->WriteAnswer(key, store_.VersionOf(key)),
             response);
      return;
    }
    changed_.SignalAll();
    Answer(200, options_.format->WriteAnswer(key, written.value()), response);
  }

  void ServeWatch(const ApiCall& call, httplib::Response* response)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const absl::Time until = absl::Now() + std::min(call.wait, kMaxWatchWait);
    const StoreEpoch epoch = store_.epoch();
    Result<WatchAnswer> answer = store_.EventsAfter(call.prefix, call.after);
    while (answer.ok() && answer.value().events.empty() && !stopping_ &&
           store_.epoch() == epoch && faults_.outage() != Outage::kRefusing &&
           absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
      answer = store_.EventsAfter(call.prefix, call.after);
    }
    if (faults_.watch_stall()) {
      WaitWhileStalled();
      SendIncompleteAnswer(response);
    } else if (faults_.outage() == Outage::kRefusing) {
      Answer(503, json::object(), response);
    } else if (answer.ok()) {
      Answer(200, options_.format->WatchAnswer(answer.value()), response,
             ValuesOf(answer.value()));
    } else {
      Answer(StatusOf(answer.error().code), json::object(), response);
    }
  }

  // Waits until watches are no longer stalled, at most kMaxWatchWait.
  void WaitWhileStalled() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const absl::Time until = absl::Now() + kMaxWatchWait;
    while (!stopping_ && faults_.watch_stall() && absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
    }
  }

  void ServeVms(httplib::Response* response) {
    const absl::Time visible_since = absl::Now() - options_.vm_list_lag;
    const std::vector<platform::Vm> none;
    const std::vector<platform::Vm>* vms = &none;
    for (const VmListVersion& version : vms_) {
      if (version.since <= visible_since) {
        vms = &version.vms;
      }
    }
    Answer(200, ToJson(*vms), response);
  }

  const FakePlatformOptions options_;
  Endpoint endpoint_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  // The members from here to `stopping_` are guarded by `mutex_`.
  Store store_;
  Store stale_store_;
  Store saved_copy_;
  FaultInjector faults_;
  std::vector<VmListVersion> vms_;
  std::map<CallKey, std::uint64_t> calls_;
  bool stopping_ = false;

  httplib::Server server_;
  std::thread thread_;
};

Result<std::unique_ptr<FakePlatform>> FakePlatform::Make(
    const FakePlatformOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  if (!impl->Start()) {
    return Error{ResultCode::kBindFailed, "listen",
                 fmt::format("cannot listen on {}", ToString(options.listen))};
  }
  return std::unique_ptr<FakePlatform>(new FakePlatform(std::move(impl)));
}

FakePlatform::FakePlatform(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
FakePlatform::~FakePlatform() = default;

Endpoint FakePlatform::endpoint() const {
  return impl_->endpoint();
}

Result<Version> FakePlatform::Put(std::string_view key,
                                  std::string_view value,
                                  Version if_version) {
  return impl_->Update(
      [&](Impl& impl) { return impl.store().Put(key, value, if_version); });
}

Version FakePlatform::PutRaw(std::string_view key, std::string_view value) {
  return impl_->Update(
      [&](Impl& impl) { return impl.store().PutRaw(key, value); });
}

Result<Version> FakePlatform::Delete(std::string_view key, Version if_version) {
  return impl_->Update(
      [&](Impl& impl) { return impl.store().Delete(key, if_version); });
}

Result<Object> FakePlatform::Get(std::string_view key) const {
  return impl_->Inspect(
      [&](const Impl& impl) { return impl.store().Get(key); });
}

Listing FakePlatform::List(std::string_view prefix) const {
  return impl_->Inspect(
      [&](const Impl& impl) { return impl.store().List(prefix); });
}

Result<WatchAnswer> FakePlatform::EventsAfter(std::string_view prefix,
                                              Version after) const {
  return impl_->Inspect([&](const Impl& impl) {
    return impl.store().EventsAfter(prefix, after);
  });
}

Version FakePlatform::revision() const {
  return impl_->Inspect(
      [](const Impl& impl) { return impl.store().revision(); });
}

void FakePlatform::SetVms(std::vector<platform::Vm> vms) {
  impl_->Update([&](Impl& impl) {
    impl.AddVms(std::move(vms));
    return true;
  });
}

void FakePlatform::SetOutage(Outage outage) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_outage(outage);
    return true;
  });
}

void FakePlatform::SetDelay(const DelayOptions& delay) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_delay(delay);
    return true;
  });
}

void FakePlatform::SetLostAnswers(double probability) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_lost_answers(probability);
    return true;
  });
}

void FakePlatform::SetLateWrites(double probability) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_late_writes(probability);
    return true;
  });
}

void FakePlatform::SetWatchStall(bool stalled) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_watch_stall(stalled);
    return true;
  });
}

void FakePlatform::SaveStaleState() {
  impl_->Update([](Impl& impl) {
    impl.SaveStaleStore();
    return true;
  });
}

void FakePlatform::SetStaleReads(double probability) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_stale_reads(probability);
    return true;
  });
}

void FakePlatform::SaveCopy() {
  impl_->Update([](Impl& impl) {
    impl.SaveCopy();
    return true;
  });
}

void FakePlatform::Restore() {
  impl_->Update([](Impl& impl) {
    impl.Restore();
    return true;
  });
}

StoreEpoch FakePlatform::epoch() const {
  return impl_->Inspect([](const Impl& impl) { return impl.store().epoch(); });
}

void FakePlatform::SetPartitioned(std::uint32_t client_ip, bool partitioned) {
  impl_->Update([&](Impl& impl) {
    impl.faults().SetPartitioned(client_ip, partitioned);
    return true;
  });
}

void FakePlatform::Compact() {
  impl_->Update([](Impl& impl) {
    impl.store().Compact();
    return true;
  });
}

std::vector<CallCount> FakePlatform::Calls() const {
  return impl_->Inspect([](const Impl& impl) {
    std::vector<CallCount> counts;
    for (const auto& [key, calls] : impl.calls()) {
      const auto& [second, ip, kind] = key;
      counts.push_back({second, ip, kind, calls});
    }
    return counts;
  });
}

std::uint64_t FakePlatform::TotalCalls() const {
  std::uint64_t total = 0;
  for (const CallCount& count : Calls()) {
    total += count.calls;
  }
  return total;
}

std::uint64_t FakePlatform::TotalCalls(CallKind kind) const {
  std::uint64_t total = 0;
  for (const CallCount& count : Calls()) {
    total += count.kind == kind ? count.calls : 0;
  }
  return total;
}

}  // namespace gcw::fake_platform
