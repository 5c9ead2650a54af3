#include "gcw/platform/api_format.h"

namespace gcw::platform {

Result<ListPage> ApiFormat::DecodeListPage(std::string_view prefix,
                                           std::string_view body) const {
  const auto decoder = MakeListDecoder(prefix);
  const Status status = decoder->OnBytes(body);
  return status.ok() ? decoder->Finish() : status.error();
}

Result<WatchAnswer> ApiFormat::DecodeWatch(std::string_view prefix,
                                           std::string_view body) const {
  const auto decoder = MakeWatchDecoder(prefix);
  const Status status = decoder->OnBytes(body);
  return status.ok() ? decoder->Finish() : status.error();
}

}  // namespace gcw::platform
