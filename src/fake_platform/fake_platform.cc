#include "src/fake_platform/fake_platform.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <tuple>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"
#include "src/fake_platform/answers.h"
#include "src/platform/connection_threads.h"

namespace gcw::fake_platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConnections = 2000;
constexpr std::size_t kCallsPerConnection = 10'000'000;
constexpr int kKeepAliveSeconds = 20;
// A call that gets no answer is dropped after this, when its caller has long
// given up.
constexpr absl::Duration kNoAnswerHold = absl::Seconds(30);
constexpr absl::Duration kLongestWatch = absl::Seconds(120);
constexpr char kJson[] = "application/json";

void Answer(int status, const json& body, httplib::Response* response) {
  response->status = status;
  response->set_content(body.dump(), kJson);
}

// Closes the connection before the answer is whole, which a caller cannot tell
// from an answer that never came.
void CutAnswer(httplib::Response* response) {
  const auto provide = [](std::size_t, std::size_t, httplib::DataSink&) {
    return false;
  };
  response->body.clear();
  response->set_content_provider(1, kJson, provide);
}

std::uint64_t NumberParam(const httplib::Request& request, const char* name) {
  const std::string text = request.get_param_value(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The VM list as of the past.
struct VmListVersion {
  absl::Time since;
  std::vector<platform::Vm> vms;
};

}  // namespace

class FakePlatform::Impl {
 public:
  explicit Impl(const FakePlatformOptions& options)
      : options_(options),
        store_(options.log_size),
        remembered_(options.log_size),
        faults_(options.limits, options.seed) {}

  ~Impl() {
    {
      const absl::MutexLock lock(&mutex_);
      ending_ = true;
      changed_.SignalAll();
    }
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Start() {
    server_.new_task_queue = [] {
      return new platform::ConnectionThreads(kMaxConnections);
    };
    server_.set_keep_alive_max_count(kCallsPerConnection);
    server_.set_keep_alive_timeout(kKeepAliveSeconds);
    server_.set_payload_max_length(2 * kMaxStoredBytes);
    server_.set_tcp_nodelay(true);
    AddRoutes();
    const int port = platform::BindServer(&server_, options_.listen);
    if (port == 0) {
      return false;
    }
    endpoint_ = {options_.listen.ip, static_cast<std::uint16_t>(port)};
    thread_ = platform::ServeOnThread(&server_);
    return true;
  }

  Endpoint endpoint() const { return endpoint_; }

  // Runs `change` on the state, then wakes the watches.
  template <typename Change>
  auto Update(const Change& change) {
    const absl::MutexLock lock(&mutex_);
    auto result = change(*this);
    changed_.SignalAll();
    return result;
  }

  template <typename Read>
  auto Inspect(const Read& read) const {
    const absl::MutexLock lock(&mutex_);
    return read(*this);
  }

  Store& store() { return store_; }
  const Store& store() const { return store_; }
  Faults& faults() { return faults_; }
  void Remember() { remembered_ = store_; }
  void AddVms(std::vector<platform::Vm> vms) {
    vms_.push_back({absl::Now(), std::move(vms)});
  }
  const auto& calls() const { return calls_; }

 private:
  using CallKey = std::tuple<std::int64_t, std::uint32_t, CallKind>;
  // Makes the answer of one kind of call. Runs with the mutex held.
  using Member = void (Impl::*)(const httplib::Request&,
                                const CallFate&,
                                httplib::Response*);

  void AddRoutes() {
    server_.Get("/v1/objects", Handler(CallKind::kList, &Impl::ServeList));
    server_.Get("/v1/object", Handler(CallKind::kGet, &Impl::ServeGet));
    server_.Put("/v1/object", Handler(CallKind::kPut, &Impl::ServePut));
    server_.Delete("/v1/object",
                   Handler(CallKind::kDelete, &Impl::ServeDelete));
    server_.Get("/v1/watch", Handler(CallKind::kWatch, &Impl::ServeWatch));
    server_.Get("/v1/vms", Handler(CallKind::kVms, &Impl::ServeVms));
  }

  httplib::Server::Handler Handler(CallKind kind, Member serve) {
    return [this, kind, serve](const httplib::Request& request,
                               httplib::Response& response) {
      Handle(kind, serve, request, &response);
    };
  }

  void Handle(CallKind kind,
              Member serve,
              const httplib::Request& request,
              httplib::Response* response) {
    const Result<std::uint32_t> parsed = ParseIp(request.remote_addr);
    const std::uint32_t ip = parsed.ok() ? parsed.value() : 0;
    const absl::MutexLock lock(&mutex_);
    Count(kind, ip);
    const CallFate fate = faults_.Decide(kind, ip, absl::Now());
    WaitFor(fate.delay / 2);
    switch (fate.kind) {
      case CallFate::Kind::kUnavailable:
        Answer(503, json::object(), response);
        return;
      case CallFate::Kind::kRateLimited:
        Answer(429, json::object(), response);
        return;
      case CallFate::Kind::kNoAnswer:
        WaitFor(kNoAnswerHold);
        CutAnswer(response);
        return;
      case CallFate::Kind::kServe:
        break;
    }
    (this->*serve)(request, fate, response);
    WaitFor(fate.delay / 2);
    // What began before a fault may also get no answer.
    if (fate.lose_answer || IsCutOff(ip)) {
      CutAnswer(response);
    }
  }

  bool IsCutOff(std::uint32_t ip) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return faults_.IsPartitioned(ip) || faults_.outage() == Outage::kSilent;
  }

  void Count(CallKind kind, std::uint32_t ip)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (!faults_.IsPartitioned(ip)) {
      ++calls_[{absl::ToUnixSeconds(absl::Now()), ip, kind}];
    }
  }

  // Lets others run for `duration`, or until the end.
  void WaitFor(absl::Duration duration) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (duration <= absl::ZeroDuration()) {
      return;
    }
    const absl::Time until = absl::Now() + duration;
    while (!ending_ && absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
    }
  }

  const Store& StoreFor(const CallFate& fate) const {
    return fate.answer_stale ? remembered_ : store_;
  }

  void ServeList(const httplib::Request& request,
                 const CallFate& fate,
                 httplib::Response* response) {
    const std::string prefix = request.get_param_value("prefix");
    Answer(200, ToJson(StoreFor(fate).List(prefix)), response);
  }

  void ServeGet(const httplib::Request& request,
                const CallFate& fate,
                httplib::Response* response) {
    const Result<Object> object =
        StoreFor(fate).Get(request.get_param_value("key"));
    if (object.ok()) {
      Answer(200, ToJson(object.value()), response);
    } else {
      Answer(StatusOf(object.error().code), json::object(), response);
    }
  }

  void ServePut(const httplib::Request& request,
                const CallFate&,
                httplib::Response* response) {
    const std::string key = request.get_param_value("key");
    AnswerWrite(
        key, store_.Put(key, request.body, NumberParam(request, "if_version")),
        response);
  }

  void ServeDelete(const httplib::Request& request,
                   const CallFate&,
                   httplib::Response* response) {
    const std::string key = request.get_param_value("key");
    AnswerWrite(key, store_.Delete(key, NumberParam(request, "if_version")),
                response);
  }

  void AnswerWrite(const std::string& key,
                   const Result<Version>& written,
                   httplib::Response* response) {
    if (!written.ok()) {
      Answer(StatusOf(written.error().code),
             {{"version", store_.VersionOf(key)}}, response);
      return;
    }
    changed_.SignalAll();
    Answer(200, {{"version", written.value()}}, response);
  }

  void ServeWatch(const httplib::Request& request,
                  const CallFate&,
                  httplib::Response* response)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const std::string prefix = request.get_param_value("prefix");
    const std::uint64_t after = NumberParam(request, "after");
    const absl::Duration wait = std::min(
        absl::Milliseconds(NumberParam(request, "wait_ms")), kLongestWatch);
    const absl::Time until = absl::Now() + wait;
    Result<WatchAnswer> answer = store_.EventsAfter(prefix, after);
    while (answer.ok() && answer.value().events.empty() && !ending_ &&
           faults_.outage() != Outage::kRefusing && absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
      answer = store_.EventsAfter(prefix, after);
    }
    if (faults_.watch_stall()) {
      HoldStalled();
      CutAnswer(response);
    } else if (faults_.outage() == Outage::kRefusing) {
      Answer(503, json::object(), response);
    } else if (answer.ok()) {
      Answer(200, ToJson(answer.value()), response);
    } else {
      Answer(StatusOf(answer.error().code), json::object(), response);
    }
  }

  void HoldStalled() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    const absl::Time until = absl::Now() + kLongestWatch;
    while (!ending_ && faults_.watch_stall() && absl::Now() < until) {
      changed_.WaitWithDeadline(&mutex_, until);
    }
  }

  void ServeVms(const httplib::Request&,
                const CallFate&,
                httplib::Response* response) {
    const absl::Time visible = absl::Now() - options_.vm_list_lag;
    const std::vector<platform::Vm> none;
    const std::vector<platform::Vm>* vms = &none;
    for (const VmListVersion& version : vms_) {
      if (version.since <= visible) {
        vms = &version.vms;
      }
    }
    Answer(200, ToJson(*vms), response);
  }

  const FakePlatformOptions options_;
  Endpoint endpoint_;
  mutable absl::Mutex mutex_;
  absl::CondVar changed_;
  // All below is guarded by mutex_.
  Store store_;
  Store remembered_;
  Faults faults_;
  std::vector<VmListVersion> vms_;
  std::map<CallKey, std::uint64_t> calls_;
  bool ending_ = false;

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

void FakePlatform::SetLostAnswers(double share) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_lost_answers(share);
    return true;
  });
}

void FakePlatform::SetWatchStall(bool stalled) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_watch_stall(stalled);
    return true;
  });
}

void FakePlatform::RememberState() {
  impl_->Update([](Impl& impl) {
    impl.Remember();
    return true;
  });
}

void FakePlatform::SetStaleReads(double share) {
  impl_->Update([&](Impl& impl) {
    impl.faults().set_stale_reads(share);
    return true;
  });
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
