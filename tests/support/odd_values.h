#ifndef GCW_TESTS_SUPPORT_ODD_VALUES_H_
#define GCW_TESTS_SUPPORT_ODD_VALUES_H_

#include <string>
#include <vector>

namespace gcw::test {

// A value that another writer has left in the store.
struct OddValue {
  std::string name;  // What is odd about it.
  std::string text;  // As it stands in the store's answers.
};

// `count` times `text`.
inline std::string Repeated(const std::string& text, std::size_t count) {
  std::string repeated;
  repeated.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

// Values that no parser can decode as one of this system's objects.
inline std::vector<OddValue> OddValues() {
  constexpr std::size_t kLevels = 120'000;
  const std::string nested_arrays =
      Repeated("[", kLevels) + Repeated("]", kLevels);
  const std::string nested_objects =
      Repeated("{\"a\":", kLevels) + "1" + Repeated("}", kLevels);
  return {
      {"nested arrays", nested_arrays},
      {"nested arrays in a field", "{\"zone\":" + nested_arrays + "}"},
      {"nested objects", nested_objects},
      {"nested without an end", Repeated("[{\"a\":", kLevels)},
      {"not UTF-8", "{\"zone\":\"\xff\xfe\"}"},
      {"half a surrogate pair", R"({"zone":"\ud800"})"},
      {"a number too large", R"({"capacity":1e999})"},
      {"an integer of many digits",
       R"({"capacity":)" + Repeated("9", 400) + "}"},
      {"control characters", "{\"zone\":\"a\x01\x02\"}"},
      {"zero bytes", std::string("{\"zone\":\"a\0\0\"}", 14)},
      {"a long text", "{\"zone\":\"" + Repeated("x", 900'000) + "\"}"},
      {"nothing", ""},
      {"null", "null"},
      {"a number", "5"},
      {"a text", "\"text\""},
      {"an array", "[]"},
      {"an empty object", "{}"},
      {"a word", "nonsense"},
      {"cut in a text", R"({"service":"s","addr)"},
      {"cut after a name", R"({"service")"},
      {"cut after a colon", R"({"service":)"},
      {"cut after a value", R"({"service":"s")"},
      {"cut after a comma", R"({"service":"s",)"},
      {"cut in an escape", R"({"service":"s\)"},
      {"cut after a bracket", "{"},
      {"cut in an array", R"({"service":["s")"},
      {"a quote too many", R"({"service":"s""})"},
      {"a closing bracket too many", R"({"service":"s"}})"},
      {"an array closed too often", R"({"service":"s"}])"},
      {"all brackets closed too often", R"({"service":"s"}}]}])"},
      {"the wrong bracket", R"({"service":["s"}})"},
      {"two values", R"({"service":"s"}{"service":"t"})"},
  };
}

}  // namespace gcw::test

#endif  // GCW_TESTS_SUPPORT_ODD_VALUES_H_
