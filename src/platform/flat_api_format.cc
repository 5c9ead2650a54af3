#include <fmt/format.h>
#include <httplib.h>

#include <string>

#include "gcw/platform/api_format.h"
#include "gcw/platform/listing_decoder.h"
#include "src/platform/platform_json.h"

namespace gcw::platform {
namespace {

std::string Target(const std::string& path, const httplib::Params& params) {
  return httplib::append_query_params(path, params);
}

class FlatFormat : public ApiFormat {
 public:
  const char* EpochHeader() const override { return "Store-Epoch"; }

  ApiRequest List(std::string_view prefix,
                  std::string_view /*after*/) const override {
    return {ApiMethod::kGet,
            Target("/v1/objects", {{"prefix", std::string(prefix)}}),
            {}};
  }

  ApiRequest Get(std::string_view key) const override {
    return {
        ApiMethod::kGet, Target("/v1/object", {{"key", std::string(key)}}), {}};
  }

  ApiRequest Put(std::string_view key,
                 std::string_view value,
                 Version if_version) const override {
    return {ApiMethod::kPut, ConditionalTarget(key, if_version),
            std::string(value)};
  }

  ApiRequest Delete(std::string_view key, Version if_version) const override {
    return {ApiMethod::kDelete, ConditionalTarget(key, if_version), {}};
  }

  ApiRequest Watch(std::string_view prefix,
                   Version after,
                   absl::Duration wait) const override {
    return {
        ApiMethod::kGet,
        Target("/v1/watch",
               {{"prefix", std::string(prefix)},
                {"after", fmt::to_string(after)},
                {"wait_ms", fmt::to_string(absl::ToInt64Milliseconds(wait))}}),
        {}};
  }

  ApiRequest Vms() const override { return {ApiMethod::kGet, "/v1/vms", {}}; }

  std::unique_ptr<ListDecoder> MakeListDecoder(
      std::string_view /*prefix*/) const override {
    return platform::MakeListDecoder({"objects", "revision", {}}, ReadObject);
  }

  std::unique_ptr<WatchDecoder> MakeWatchDecoder(
      std::string_view /*prefix*/) const override {
    return platform::MakeWatchDecoder({"events", "revision", {}}, ReadEvent);
  }

  Result<Object> DecodeObject(std::string_view /*key*/,
                              std::string_view body) const override {
    return ReadObject(body);
  }

  Result<Version> DecodeVersion(std::string_view body) const override {
    return platform::DecodeVersion(body);
  }

  Result<std::vector<Vm>> DecodeVms(std::string_view body) const override {
    return platform::DecodeVms(body);
  }

 private:
  static std::string ConditionalTarget(std::string_view key,
                                       Version if_version) {
    return Target("/v1/object", {{"key", std::string(key)},
                                 {"if_version", fmt::to_string(if_version)}});
  }
};

}  // namespace

const ApiFormat& FlatApiFormat() {
  static const FlatFormat format;
  return format;
}

}  // namespace gcw::platform
