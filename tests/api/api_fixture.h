#ifndef GCW_TESTS_API_API_FIXTURE_H_
#define GCW_TESTS_API_API_FIXTURE_H_

#include <fmt/format.h>
#include <httplib.h>

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "gcw/api/api_server.h"
#include "gcw/auth/token_hash.h"
#include "gcw/config/resources.h"
#include "src/fake_platform/fake_platform.h"

namespace gcw::api {

using config::Version;
using nlohmann::json;

inline constexpr std::uint32_t kLoopback = 0x7f000001;
inline constexpr char kPoolToken[] = "pool.secret-of-the-pool";
inline constexpr char kValtellinaToken[] = "valtellina.secret-of-crews";
inline constexpr char kTaysideToken[] = "tayside.secret-of-fitters";

inline std::string HashOfToken(const std::string& token) {
  return auth::HashToken(token).value();
}

// The API's response to one call; `status` 0: no response.
struct Reply {
  int status = 0;
  json body;
  std::string etag;

  int code() const { return body.at("error").at("code").get<int>(); }
  std::string field() const { return body.at("error").at("field"); }
  Version version() const { return body.at("version").get<Version>(); }
};

// An operator's HTTP client with one connection. Not thread-safe.
class Operator {
 public:
  Operator(const Endpoint& api, std::string token)
      : client_(IpToString(api.ip), api.port), token_(std::move(token)) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_read_timeout(20);
  }

  Reply Get(const std::string& path) { return Call("GET", path, "", {}); }
  Reply Post(const std::string& path,
             const json& body,
             httplib::Headers headers = {}) {
    return Call("POST", path, body.dump(), std::move(headers));
  }
  Reply Put(const std::string& path, const json& body, Version if_match) {
    return Call("PUT", path, body.dump(),
                {{"If-Match", fmt::format("\"{}\"", if_match)}});
  }
  Reply Patch(const std::string& path,
              const json& body,
              httplib::Headers headers = {}) {
    return Call("PATCH", path, body.dump(), std::move(headers));
  }
  Reply Delete(const std::string& path, Version if_match) {
    return Call("DELETE", path, "",
                {{"If-Match", fmt::format("\"{}\"", if_match)}});
  }

  Reply Call(const std::string& method,
             const std::string& path,
             const std::string& body,
             httplib::Headers headers) {
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.headers = std::move(headers);
    if (!token_.empty()) {
      request.headers.emplace("Authorization", "Bearer " + token_);
    }
    const httplib::Result result = client_.send(request);
    if (!result) {
      return {0, json(), ""};
    }
    return {result->status, json::parse(result->body, nullptr, false),
            result->get_header_value("ETag")};
  }

 private:
  httplib::Client client_;
  std::string token_;
};

// A fake platform and an API on it, with two organisations, one availability
// zone and one shared backend server.
class ApiFixture {
 public:
  explicit ApiFixture(fake_platform::RateLimits limits = {1e6, 1e6}) {
    SetLogLevel(LogLevel::kWarning);
    auto made = fake_platform::FakePlatform::Make(
        {.listen = {kLoopback, 0}, .limits = limits});
    REQUIRE(made.ok());
    platform = std::move(made).value();
    api = MakeApi();
    Operator pool = MakeOperator(kPoolToken);
    CHECK(pool.Post("/v1/organisations",
                    OrganisationSpec("valtellina", kValtellinaToken))
              .status == 201);
    CHECK(pool.Post("/v1/organisations",
                    OrganisationSpec("tayside", kTaysideToken))
              .status == 201);
    CHECK(pool.Post("/v1/zones", {{"name", "tirano"}}).status == 201);
    CHECK(pool.Post("/v1/servers", ServerSpec("shared", "", 1)).status == 201);
  }

  std::unique_ptr<ApiServer> MakeApi() const {
    ApiSettings settings;
    settings.listen = {kLoopback, 0};
    settings.platform = platform->endpoint();
    settings.pool_token_hash = HashOfToken(kPoolToken);
    settings.status_stale_after = absl::Seconds(5);
    Result<std::unique_ptr<ApiServer>> made = ApiServer::Make(settings);
    REQUIRE(made.ok());
    return std::move(made).value();
  }

  Operator MakeOperator(const std::string& token) const {
    return {api->endpoint(), token};
  }

  static json OrganisationSpec(const std::string& name,
                               const std::string& token) {
    return {{"name", name}, {"token_sha256", HashOfToken(token)}};
  }
  static json ServerSpec(const std::string& name,
                         const std::string& organisation,
                         int host) {
    return {{"name", name},
            {"organisation", organisation},
            {"address", fmt::format("10.1.0.{}:9000", host)},
            {"zone", "tirano"}};
  }
  static json ServiceSpec(const std::string& name,
                          const std::string& organisation,
                          const std::string& address) {
    return {{"name", name},
            {"organisation", organisation},
            {"addresses", {address}},
            {"servers", {{{"server", "shared"}}}}};
  }

  std::unique_ptr<fake_platform::FakePlatform> platform;
  std::unique_ptr<ApiServer> api;
};

}  // namespace gcw::api

#endif  // GCW_TESTS_API_API_FIXTURE_H_
