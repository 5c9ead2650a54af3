#ifndef REVIEW_STAND_INS_3_STORE_H_
#define REVIEW_STAND_INS_3_STORE_H_

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "review/stand-ins-3/loop.h"
#include "review/stand-ins-3/net.h"

namespace review3 {

// The platform's store, as far as daemons call it that only read: lists and
// watches of one kind. Servers and the operator of the case write directly.
class Store {
 public:
  using Json = nlohmann::json;

  Store(Loop& loop, const Address& address) : loop_(loop), address_(address) {
    Open();
  }
  ~Store() { Close(); }

  bool open() const { return listener_ >= 0; }

  // The store is away until Restore().
  void Close() {
    for (const auto& [fd, connection] : connections_) {
      loop_.Unwatch(fd);
      close(fd);
    }
    connections_.clear();
    loop_.Unwatch(listener_);
    close(listener_);
    listener_ = -1;
  }
  // Comes back from the copy of what it had at `copy_at`.
  void Restore(double copy_at) {
    Copy copy;
    for (const Copy& each : copies_) {
      if (each.at <= copy_at) {
        copy = each;
      }
    }
    objects_ = copy.objects;
    revision_ = copy.revision;
    std::erase_if(events_, [&](const Event& event) {
      return event.revision > revision_;
    });
    ++era_;
    Open();
  }

  // Writes the object KIND/NAME, unless its spec is `spec` already.
  void Put(const std::string& kind, const std::string& name, const Json& spec) {
    Object& object = objects_[kind][name];
    if (object.revision != 0 && object.spec == spec) {
      return;
    }
    object.revision = ++revision_;
    object.created = object.created == 0 ? revision_ : object.created;
    object.spec = spec;
    AddEvent(kind, name, object, false);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const auto it = objects_[kind].find(name);
    if (it == objects_[kind].end()) {
      return;
    }
    Object object = it->second;
    object.revision = ++revision_;
    objects_[kind].erase(it);
    AddEvent(kind, name, object, true);
  }
  const Json* Find(const std::string& kind, const std::string& name) const {
    const auto objects = objects_.find(kind);
    if (objects == objects_.end()) {
      return nullptr;
    }
    const auto it = objects->second.find(name);
    return it == objects->second.end() ? nullptr : &it->second.spec;
  }

 private:
  // The time that one answer takes.
  static constexpr double kAnswerTime = 0.004;

  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    Json spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    Json json;
  };
  // What the store had at a time.
  struct Copy {
    double at = 0;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::uint64_t revision = 0;
  };
  struct Connection {
    int fd = -1;
    std::uint64_t id = 0;
    std::string input;
    std::string watched_kind;  // Empty unless a watch waits.
    std::uint64_t watched_from = 0;
    std::uint64_t watch_id = 0;
  };

  static Json JsonOf(const std::string& name, const Object& object) {
    return {{"meta",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.created},
              {"finalizers", Json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", nullptr}};
  }

  void Open() {
    listener_ = OpenListener(address_);
    if (listener_ >= 0) {
      loop_.WatchReadable(listener_, [this] { Accept(); });
    }
  }

  void AddEvent(const std::string& kind,
                const std::string& name,
                const Object& object,
                bool removed) {
    events_.push_back(
        {revision_,
         kind,
         {{"removed", removed}, {"object", JsonOf(name, object)}}});
    copies_.push_back({loop_.now(), objects_, revision_});
    for (const auto& [fd, connection] : connections_) {
      if (connection->watched_kind == kind) {
        AnswerWatch(*connection);
      }
    }
  }

  void Accept() {
    const int fd =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    auto connection = std::make_unique<Connection>();
    connection->fd = fd;
    connection->id = ++last_id_;
    connections_[fd] = std::move(connection);
    loop_.WatchReadable(fd, [this, fd] { Read(fd); });
  }

  void Read(int fd) {
    Connection& connection = *connections_[fd];
    char buffer[4096];
    const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      loop_.Unwatch(fd);
      close(fd);
      connections_.erase(fd);
      return;
    }
    connection.input.append(buffer, static_cast<std::size_t>(count));
    std::size_t end = 0;
    while ((end = connection.input.find("\r\n\r\n")) != std::string::npos) {
      const std::string head = connection.input.substr(0, end);
      connection.input.erase(0, end + 4);
      Handle(connection, head);
    }
  }

  // The value of `key` in the query of `target`, or an empty text.
  static std::string Query(const std::string& target, const std::string& key) {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t next = target.find('&', at + 1);
      const std::string part = target.substr(
          at + 1, next == std::string::npos ? next : next - at - 1);
      if (part.rfind(key + "=", 0) == 0) {
        return part.substr(key.size() + 1);
      }
      at = next;
    }
    return "";
  }

  void Handle(Connection& connection, const std::string& head) {
    const std::size_t method_end = head.find(' ');
    const std::string method = head.substr(0, method_end);
    const std::string target = head.substr(
        method_end + 1, head.find(' ', method_end + 1) - method_end - 1);
    const std::string root = "/objects/";
    if (method != "GET" || target.rfind(root, 0) != 0) {
      Answer(connection, 404, Json::object());
      return;
    }
    const std::string kind =
        target.substr(root.size(), target.find('?') - root.size());
    const std::string watch = Query(target, "watch");
    if (watch.empty()) {
      Json items = Json::array();
      const std::string after = Query(target, "after");
      for (const auto& [name, object] : objects_[kind]) {
        if (name > after) {
          items.push_back(JsonOf(name, object));
        }
      }
      Answer(connection, 200,
             {{"items", items},
              {"has_more", false},
              {"store_revision", revision_}});
      return;
    }
    if (std::strtoull(watch.c_str(), nullptr, 10) > revision_) {
      Answer(connection, 410, Json::object());
      return;
    }
    connection.watched_kind = kind;
    connection.watched_from = std::strtoull(watch.c_str(), nullptr, 10);
    connection.watch_id = ++last_id_;
    const bool has_event =
        std::any_of(events_.begin(), events_.end(), [&](const Event& event) {
          return event.kind == kind && event.revision > connection.watched_from;
        });
    if (has_event) {
      AnswerWatch(connection);
      return;
    }
    const double wait =
        1e-3 * std::strtod(Query(target, "wait_ms").c_str(), nullptr);
    loop_.After(
        wait, [this, fd = connection.fd, watch_id = connection.watch_id] {
          const auto it = connections_.find(fd);
          if (it != connections_.end() && it->second->watch_id == watch_id &&
              !it->second->watched_kind.empty()) {
            AnswerWatch(*it->second);
          }
        });
  }

  void AnswerWatch(Connection& connection) {
    Json events = Json::array();
    for (const Event& event : events_) {
      if (event.kind == connection.watched_kind &&
          event.revision > connection.watched_from) {
        events.push_back(event.json);
      }
    }
    connection.watched_kind.clear();
    Answer(connection, 200,
           {{"events", events}, {"store_revision", revision_}});
  }

  void Answer(const Connection& connection, int status, const Json& body) {
    const std::string text = body.dump();
    std::string answer = "HTTP/1.1 " + std::to_string(status) +
                         (status == 200 ? " OK" : " Error") +
                         "\r\nContent-Type: application/json\r\nStore-Era: " +
                         std::to_string(era_) +
                         "\r\nContent-Length: " + std::to_string(text.size()) +
                         "\r\n\r\n" + text;
    loop_.After(kAnswerTime, [this, fd = connection.fd, id = connection.id,
                              answer = std::move(answer)] {
      const auto it = connections_.find(fd);
      if (it != connections_.end() && it->second->id == id) {
        // Answers are small against the socket's buffer.
        (void)send(fd, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
    });
  }

  Loop& loop_;
  const Address address_;
  int listener_ = -1;
  int era_ = 1;
  std::uint64_t revision_ = 0;
  std::uint64_t last_id_ = 0;
  std::vector<Copy> copies_;
  std::map<std::string, std::map<std::string, Object>> objects_;
  std::vector<Event> events_;
  std::map<int, std::unique_ptr<Connection>> connections_;
};

}  // namespace review3

#endif  // REVIEW_STAND_INS_3_STORE_H_
