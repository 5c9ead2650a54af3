#include "src/daemon/http_message.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <iterator>

namespace gcw::daemon {
namespace {

namespace http = boost::beast::http;

std::string_view ToStdView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::optional<HttpRequest> ParseRequestHead(std::string_view head) {
  http::request_parser<http::empty_body> parser;
  parser.header_limit(kMaxRequestHeadBytes);
  // The body, if any, is not read.
  parser.skip(true);
  boost::beast::error_code error;
  parser.put(boost::asio::buffer(head.data(), head.size()), error);
  if (error || !parser.is_header_done() ||
      parser.get().method() == http::verb::unknown) {
    return std::nullopt;
  }
  const std::string_view target = ToStdView(parser.get().target());
  return HttpRequest{std::string(ToStdView(parser.get().method_string())),
                     std::string(target.substr(0, target.find('?')))};
}

std::string FormatResponse(const HttpResponse& response) {
  const auto status =
      http::int_to_status(static_cast<unsigned>(response.status));
  std::string out = fmt::format(
      "HTTP/1.1 {} {}\r\nConnection: close\r\nContent-Length: {}\r\n",
      response.status, ToStdView(http::obsolete_reason(status)),
      response.body.size());
  if (!response.content_type.empty()) {
    fmt::format_to(std::back_inserter(out), "Content-Type: {}\r\n",
                   response.content_type);
  }
  out += "\r\n";
  if (!response.without_body) {
    out += response.body;
  }
  return out;
}

}  // namespace gcw::daemon
