#ifndef GCW_REVIEW_STORE_H_
#define GCW_REVIEW_STORE_H_

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// The platform's store, as far as PROTOCOL.md describes what a daemon calls:
// lists with pages, and watches. The test itself writes the objects, for the
// operator and the servers. `spec` is kept as the bytes that the writer sent.
class ObjectStore {
 public:
  static constexpr std::size_t kPageObjects = 500;
  static constexpr std::size_t kPageBytes = 1'000'000;
  static constexpr std::chrono::milliseconds kAnswerTime{4};

  // Listens on a free port of `ip`. Returns the port, or 0.
  int Start(const std::string& ip) {
    server_.new_task_queue = [] { return new httplib::ThreadPool(48); };
    server_.set_keep_alive_max_count(1'000'000);
    server_.set_tcp_nodelay(true);
    server_.Get(R"(/objects/([^/]+))", [this](const httplib::Request& request,
                                              httplib::Response& response) {
      Read(request, response);
    });
    port_ = server_.bind_to_any_port(ip.c_str());
    if (port_ > 0) {
      thread_ = std::thread([this] { server_.listen_after_bind(); });
    }
    return std::max(port_, 0);
  }

  ~ObjectStore() { Stop(); }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      closing_ = true;
    }
    changed_.notify_all();
    server_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    const std::lock_guard lock(mutex_);
    Object& object = kinds_[kind][name];
    if (object.revision != 0 && object.spec == spec) {
      return;
    }
    object.spec = spec;
    object.revision = ++revision_;
    if (object.created == 0) {
      object.created = revision_;
    }
    history_.push_back({revision_, kind, Encode(name, object), false});
    changed_.notify_all();
  }

  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    auto& objects = kinds_[kind];
    const auto it = objects.find(name);
    if (it == objects.end()) {
      return;
    }
    Object object = it->second;
    objects.erase(it);
    object.revision = ++revision_;
    history_.push_back({revision_, kind, Encode(name, object), true});
    changed_.notify_all();
  }

  // How many list and watch calls were answered.
  std::uint64_t lists() const {
    const std::lock_guard lock(mutex_);
    return lists_;
  }
  std::uint64_t watches() const {
    const std::lock_guard lock(mutex_);
    return watches_;
  }

 private:
  struct Object {
    std::string spec;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string object;
    bool removed = false;
  };

  static std::string Encode(const std::string& name, const Object& object) {
    return "{\"meta\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
           ",\"status\":null}";
  }

  void Read(const httplib::Request& request, httplib::Response& response) {
    std::this_thread::sleep_for(kAnswerTime);
    response.set_header("Store-Era", "1");
    const std::string kind = request.matches[1];
    response.set_content(request.has_param("watch")
                             ? Watch(kind, request)
                             : List(kind, request.get_param_value("after")),
                         "application/json");
  }

  std::string List(const std::string& kind, const std::string& after) {
    const std::lock_guard lock(mutex_);
    ++lists_;
    const auto& objects = kinds_[kind];
    std::string items;
    std::size_t count = 0;
    auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
    for (; it != objects.end() && count < kPageObjects &&
           items.size() < kPageBytes;
         ++it) {
      items += (count++ == 0 ? "" : ",") + Encode(it->first, it->second);
    }
    return "{\"items\":[" + items +
           "],\"has_more\":" + (it == objects.end() ? "false" : "true") +
           ",\"store_revision\":" + std::to_string(revision_) + "}";
  }

  std::string Watch(const std::string& kind, const httplib::Request& request) {
    const std::uint64_t after = std::stoull(request.get_param_value("watch"));
    const auto wait = std::chrono::milliseconds(
        std::stoull("0" + request.get_param_value("wait_ms")));
    std::unique_lock lock(mutex_);
    const auto has_event = [&] {
      return closing_ ||
             std::any_of(
                 history_.rbegin(), history_.rend(), [&](const Change& change) {
                   return change.revision > after && change.kind == kind;
                 });
    };
    changed_.wait_for(lock, wait, has_event);
    ++watches_;
    std::string events;
    for (const Change& change : history_) {
      if (change.revision > after && change.kind == kind) {
        events += (events.empty() ? "" : ",") + std::string("{\"removed\":") +
                  (change.removed ? "true" : "false") +
                  ",\"object\":" + change.object + "}";
      }
    }
    return "{\"events\":[" + events +
           "],\"store_revision\":" + std::to_string(revision_) + "}";
  }

  httplib::Server server_;
  std::thread thread_;
  int port_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool closing_ = false;
  std::uint64_t revision_ = 100;
  std::uint64_t lists_ = 0;
  std::uint64_t watches_ = 0;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::deque<Change> history_;
};

}  // namespace review

#endif  // GCW_REVIEW_STORE_H_
