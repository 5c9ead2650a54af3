#include <charconv>

#include "gcw/platform/api_format.h"
#include "src/fake_platform/answers.h"
#include "src/fake_platform/server_api_format.h"

namespace gcw::fake_platform {
namespace {

using nlohmann::json;

std::uint64_t Number(const ApiHttpCall& call, const char* name) {
  const std::string text = call.param(name);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

class FlatServerFormat : public ServerApiFormat {
 public:
  const char* EpochHeader() const override {
    return platform::FlatApiFormat().EpochHeader();
  }

  std::optional<ApiCall> Parse(const ApiHttpCall& call) const override {
    ApiCall parsed;
    parsed.key = call.param("key");
    parsed.prefix = call.param("prefix");
    parsed.value = call.body;
    parsed.if_version = Number(call, "if_version");
    parsed.after = Number(call, "after");
    parsed.wait = absl::Milliseconds(Number(call, "wait_ms"));
    const std::optional<CallKind> kind = KindOf(call);
    if (!kind) {
      return std::nullopt;
    }
    parsed.kind = *kind;
    return parsed;
  }

  json ListAnswer(const platform::Listing& page, bool /*more*/) const override {
    return ToJson(page);
  }
  json ObjectAnswer(const platform::Object& object) const override {
    return ToJson(object);
  }
  json WatchAnswer(const platform::WatchAnswer& answer) const override {
    return ToJson(answer);
  }
  json WriteAnswer(std::string_view /*key*/,
                   platform::Version version) const override {
    return {{"version", version}};
  }

 private:
  static std::optional<CallKind> KindOf(const ApiHttpCall& call) {
    if (call.path == "/v1/object") {
      if (call.method == "PUT") {
        return CallKind::kPut;
      }
      return call.method == "DELETE" ? CallKind::kDelete : CallKind::kGet;
    }
    if (call.method != "GET") {
      return std::nullopt;
    }
    if (call.path == "/v1/objects") {
      return CallKind::kList;
    }
    if (call.path == "/v1/watch") {
      return CallKind::kWatch;
    }
    if (call.path == "/v1/vms") {
      return CallKind::kVms;
    }
    return std::nullopt;
  }
};

}  // namespace

const ServerApiFormat& FlatServerApiFormat() {
  static const FlatServerFormat format;
  return format;
}

}  // namespace gcw::fake_platform
