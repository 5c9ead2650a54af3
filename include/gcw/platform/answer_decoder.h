#ifndef GCW_PLATFORM_ANSWER_DECODER_H_
#define GCW_PLATFORM_ANSWER_DECODER_H_

#include <string>
#include <string_view>

#include "gcw/base/result.h"
#include "gcw/platform/platform_client.h"

namespace gcw::platform {

// One page of a listing. The pages of a listing are read one after another, so
// they may show the platform at different revisions.
struct ListPage {
  Listing listing;
  // The last key of this page if more pages follow, otherwise empty.
  std::string continue_after;
};

// Decodes the body of the response to an ApiFormat::List() request while it
// arrives, so that the whole body need not be held. Each decoder decodes one
// body. Not thread-safe.
class ListDecoder {
 public:
  virtual ~ListDecoder() = default;

  // Takes the next bytes of the body, any number of them; `bytes` is not used
  // after the call. Fails with kPlatformBadAnswer as soon as the body is known
  // to be invalid. The rest of it need not be read then: all further calls fail
  // with the same error.
  virtual Status OnBytes(std::string_view bytes) = 0;

  // Returns the page after the last bytes of the body. Fails with
  // kPlatformBadAnswer if the body is invalid or not complete. Precondition:
  // not called before.
  virtual Result<ListPage> Finish() = 0;
};

// Decodes the body of the response to an ApiFormat::Watch() request while it
// arrives, like ListDecoder. Not thread-safe.
class WatchDecoder {
 public:
  virtual ~WatchDecoder() = default;

  // See ListDecoder::OnBytes().
  virtual Status OnBytes(std::string_view bytes) = 0;

  // Returns the answer after the last bytes of the body. See
  // ListDecoder::Finish().
  virtual Result<WatchAnswer> Finish() = 0;
};

}  // namespace gcw::platform

#endif  // GCW_PLATFORM_ANSWER_DECODER_H_
