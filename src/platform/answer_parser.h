#ifndef SRC_PLATFORM_ANSWER_PARSER_H_
#define SRC_PLATFORM_ANSWER_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/platform/body_sink.h"
#include "src/platform/http_connection.h"

namespace gcw::platform {

// The longest header block, line between two chunks, and block of trailers.
inline constexpr std::uint32_t kMaxHeaderBytes = 32 * 1024;

// Parses one HTTP answer, interim or final, as it arrives. Keeps nothing of it
// but the status and one header. Not thread-safe.
class AnswerParser : public boost::beast::http::basic_parser<false> {
 public:
  // Passes the body of a successful answer to `sink`. `header` names the header
  // to keep. Both must outlive the parser.
  AnswerParser(const HttpExchange& exchange, BodySink& sink);

  // What has been read of the answer.
  const HttpAnswer& answer() const { return answer_; }
  bool is_interim() const { return answer_.status / 100 == 1; }
  // Why put() has failed, if it was not for the format of the answer.
  const std::optional<Error>& error() const { return error_; }

 private:
  using Code = boost::beast::error_code;
  using View = boost::beast::string_view;
  using Field = boost::beast::http::field;

  void on_request_impl(boost::beast::http::verb method,
                       View method_text,
                       View target,
                       int version,
                       Code& code) override;
  void on_response_impl(int status,
                        View reason,
                        int version,
                        Code& code) override;
  void on_field_impl(Field field, View name, View value, Code& code) override;
  void on_header_impl(Code& code) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         Code& code) override;
  std::size_t on_body_impl(View body, Code& code) override;
  void on_chunk_header_impl(std::uint64_t size,
                            View extensions,
                            Code& code) override;
  std::size_t on_chunk_body_impl(std::uint64_t left,
                                 View body,
                                 Code& code) override;
  void on_finish_impl(Code& code) override;

  // Makes put() fail with `error`.
  void Fail(Error error, Code& code);

  const HttpExchange& exchange_;
  BodySink& sink_;
  HttpAnswer answer_;
  bool encoded_ = false;  // Whether the body is compressed or the like.
  std::optional<Error> error_;
};

}  // namespace gcw::platform

#endif  // SRC_PLATFORM_ANSWER_PARSER_H_
