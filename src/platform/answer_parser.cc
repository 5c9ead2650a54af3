#include "src/platform/answer_parser.h"

#include <fmt/format.h>

#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>

namespace gcw::platform {
namespace {

std::string_view ToStd(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

AnswerParser::AnswerParser(const HttpExchange& exchange, BodySink& sink)
    : exchange_(exchange), sink_(sink) {
  eager(true);
  header_limit(kMaxHeaderBytes);
  // HttpConnection limits the answer as a whole.
  body_limit(std::numeric_limits<std::uint64_t>::max());
}

void AnswerParser::on_request_impl(boost::beast::http::verb /*method*/,
                                   View /*method_text*/,
                                   View /*target*/,
                                   int /*version*/,
                                   Code& /*code*/) {}

void AnswerParser::on_response_impl(int status,
                                    View /*reason*/,
                                    int /*version*/,
                                    Code& /*code*/) {
  answer_.status = status;
}

void AnswerParser::on_field_impl(Field field,
                                 View name,
                                 View value,
                                 Code& /*code*/) {
  if (is_header_done()) {
    return;  // A trailer.
  }
  if (field == Field::content_encoding) {
    encoded_ = encoded_ || !boost::beast::iequals(value, "identity");
  }
  if (field == Field::transfer_encoding) {
    encoded_ = encoded_ || !boost::beast::iequals(value, "chunked");
  }
  if (!answer_.header &&
      boost::beast::iequals(
          name, View(exchange_.header.data(), exchange_.header.size()))) {
    answer_.header = std::string(ToStd(value));
  }
}

void AnswerParser::on_header_impl(Code& code) {
  constexpr int kSwitchingProtocols = 101;
  if (answer_.status == kSwitchingProtocols) {
    Fail({ResultCode::kPlatformBadAnswer, "",
          "the platform changes to another protocol"},
         code);
  }
  if (encoded_ && answer_.IsSuccess()) {
    Fail({ResultCode::kPlatformBadAnswer, "",
          "the body of the platform's answer is encoded"},
         code);
  }
}

void AnswerParser::on_body_init_impl(
    const boost::optional<std::uint64_t>& length,
    Code& code) {
  if (answer_.IsSuccess() && length.value_or(0) > exchange_.max_answer_bytes) {
    Fail({ResultCode::kPlatformBadAnswer, "",
          fmt::format("the platform's answer of {} bytes has more than {}",
                      *length, exchange_.max_answer_bytes)},
         code);
  }
}

std::size_t AnswerParser::on_body_impl(View body, Code& code) {
  if (answer_.IsSuccess()) {
    const Status taken = sink_.OnBytes(ToStd(body));
    if (!taken.ok()) {
      Fail(taken.error(), code);
    }
  }
  return body.size();
}

void AnswerParser::on_chunk_header_impl(std::uint64_t /*size*/,
                                        View /*extensions*/,
                                        Code& /*code*/) {}

std::size_t AnswerParser::on_chunk_body_impl(std::uint64_t /*left*/,
                                             View body,
                                             Code& code) {
  return on_body_impl(body, code);
}

void AnswerParser::on_finish_impl(Code& /*code*/) {}

void AnswerParser::Fail(Error error, Code& code) {
  error_ = std::move(error);
  code = boost::beast::http::error::bad_value;
}

}  // namespace gcw::platform
