#include "gcw/base/cbor_reader.h"

namespace gcw {
namespace {

// A SAX handler that stops the parser where arrays and objects nest deeper than
// `max_depth`. It stores no values.
class DepthLimiter : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit DepthLimiter(int max_depth) : remaining_depth_(max_depth) {}

  bool null() override { return true; }
  bool boolean(bool /*value*/) override { return true; }
  bool number_integer(number_integer_t /*value*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return true;
  }
  bool string(string_t& /*value*/) override { return true; }
  bool binary(binary_t& /*value*/) override { return true; }
  bool start_object(std::size_t /*elements*/) override {
    return remaining_depth_-- > 0;
  }
  bool key(string_t& /*value*/) override { return true; }
  bool end_object() override { return EndContainer(); }
  bool start_array(std::size_t /*elements*/) override {
    return remaining_depth_-- > 0;
  }
  bool end_array() override { return EndContainer(); }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& /*error*/) override {
    return false;
  }

 private:
  bool EndContainer() {
    ++remaining_depth_;
    return true;
  }

  int remaining_depth_;
};

}  // namespace

std::optional<nlohmann::json> ParseCbor(std::span<const std::uint8_t> bytes,
                                        int max_depth) {
  DepthLimiter limiter(max_depth);
  if (!nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &limiter,
                                 nlohmann::json::input_format_t::cbor)) {
    return std::nullopt;
  }
  constexpr bool kStrict = true;
  constexpr bool kThrow = false;
  nlohmann::json value =
      nlohmann::json::from_cbor(bytes.begin(), bytes.end(), kStrict, kThrow);
  if (value.is_discarded()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace gcw
