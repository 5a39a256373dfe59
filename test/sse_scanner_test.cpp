/// \file Token counts in the streams of engines.
#include "agent/sse_scanner.h"

#include <doctest/doctest.h>

#include <string>

using namespace acacianotch;

// Guards against a count of another type that ends the process.
TEST_CASE("token counts that are no whole numbers are ignored") {
  for (const auto *Count : {R"("7")", "null", "{}", "[7]", "-7", "7.5"}) {
    INFO(std::string(Count));
    sse_scanner Scanner(false);
    const std::string Event =
        std::string(R"(data: {"usage":{"prompt_tokens":)") + Count +
        R"(,"completion_tokens":)" + Count + "}}\n\n";
    CHECK(Scanner.feed(Event) == Event);
    CHECK(Scanner.promptTokens() == 0);
    CHECK(Scanner.completionTokens() == 0);
  }
}
