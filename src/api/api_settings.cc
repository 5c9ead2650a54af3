#include "gcw/api/api_settings.h"

#include <array>

#include "gcw/auth/token_hash.h"
#include "gcw/config/object_reader.h"

namespace gcw::api {
namespace {

using config::ObjectReader;
using config::Presence;

constexpr std::size_t kMaxHashBytes = 512;
constexpr double kMinStaleSeconds = 0.1;
constexpr double kMaxStaleSeconds = 3600;
constexpr std::array kLevels = {LogLevel::kDebug, LogLevel::kInfo,
                                LogLevel::kWarning, LogLevel::kError,
                                LogLevel::kNone};

void ReadBind(ObjectReader& reader, std::uint32_t* bind) {
  std::string text;
  reader.ReadString("bind", Presence::kOptional, kMaxHashBytes, &text);
  if (text.empty()) {
    return;
  }
  const Result<std::uint32_t> ip = ParseIp(text);
  if (ip.ok()) {
    *bind = ip.value();
  } else {
    reader.Report(ResultCode::kInvalidField, "bind", ip.error().message);
  }
}

void ReadPoolToken(ObjectReader& reader, std::string* hash) {
  reader.ReadString("pool_token_hash", Presence::kRequired, kMaxHashBytes,
                    hash);
  if (!hash->empty() && !auth::IsTokenHash(*hash)) {
    reader.Report(ResultCode::kInvalidField, "pool_token_hash",
                  "is not a token hash; make one with 'gcw hash-token'");
  }
}

}  // namespace

ParsedApiSettings ParseApiSettings(std::string_view text) {
  ParsedApiSettings parsed;
  const Result<nlohmann::json> json = config::ParseJson(text);
  if (!json.ok()) {
    parsed.errors.push_back(json.error());
    return parsed;
  }
  ApiSettings& settings = parsed.settings;
  ObjectReader reader(json.value(), "", &parsed.errors);
  reader.ReadEndpoint("listen", Presence::kRequired, &settings.listen);
  reader.ReadEndpoint("platform", Presence::kRequired, &settings.platform);
  ReadBind(reader, &settings.bind);
  ReadPoolToken(reader, &settings.pool_token_hash);
  double stale = absl::ToDoubleSeconds(settings.status_stale_after);
  reader.ReadNumber("status_stale_seconds", Presence::kOptional,
                    kMinStaleSeconds, kMaxStaleSeconds, &stale);
  settings.status_stale_after = absl::Seconds(stale);
  std::size_t level = 1;
  reader.ReadEnum("log_level", Presence::kOptional,
                  {"debug", "info", "warning", "error", "none"}, &level);
  settings.log_level = kLevels.at(level);
  reader.Finish();
  return parsed;
}

}  // namespace gcw::api
