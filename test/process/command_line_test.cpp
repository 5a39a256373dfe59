/// \file Tests of the exit codes of both programs.
#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <sys/wait.h>

namespace {

/// Exit code and output of one program.
struct program_run {
  int Exit = -1;
  std::string Output;
};

/// Runs `PROGRAM ARGUMENTS` to its end and collects both output streams.
auto runProgram(const std::string &Line) -> program_run {
  const auto Command = std::string(PROGRAM_FOLDER) + "/" + Line + " 2>&1";
  auto *Pipe = popen(Command.c_str(), "r");
  REQUIRE(Pipe != nullptr);
  program_run Run;
  std::array<char, 4096> Part{};
  while (const auto Size = std::fread(Part.data(), 1, Part.size(), Pipe))
    Run.Output.append(Part.data(), Size);
  const auto Status = pclose(Pipe);
  Run.Exit = WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
  return Run;
}

const std::string Sample =
    std::string(SOURCE_FOLDER) + "/settings/ciranda/entry-a.toml";

} // namespace

// Guards against a start script that mistakes an invalid command line or
// invalid settings for success.
TEST_CASE("acacianotchd reports its documented exit codes") {
  CHECK(runProgram("acacianotchd --help").Exit == 0);
  CHECK(runProgram("acacianotchd --version").Exit == 0);
  CHECK(runProgram("acacianotchd --print-settings-reference").Exit == 0);
  CHECK(runProgram("acacianotchd --check --settings " + Sample).Exit == 0);
  CHECK(runProgram("acacianotchd").Exit == 2);
  CHECK(runProgram("acacianotchd --check").Exit == 2);
  CHECK(runProgram("acacianotchd --setings x").Exit == 2);
  CHECK(runProgram("acacianotchd --settings /nonexistent").Exit == 3);
  // A catalogue file is rejected as a settings file.
  const auto Catalogue =
      std::string(SOURCE_FOLDER) + "/settings/ciranda/catalogue.toml";
  const auto Run = runProgram("acacianotchd --settings " + Catalogue);
  CHECK(Run.Exit == 3);
  CHECK(Run.Output.find("entries: found an unknown key") != std::string::npos);
}

// Guards against a check in a deployment script that never fails.
TEST_CASE("acacianotchctl reports its documented exit codes") {
  CHECK(runProgram("acacianotchctl --help").Exit == 0);
  CHECK(runProgram("acacianotchctl check-config " + Sample).Exit == 0);
  CHECK(runProgram("acacianotchctl").Exit == 2);
  CHECK(runProgram("acacianotchctl status").Exit == 2);
  CHECK(runProgram("acacianotchctl check-config /nonexistent").Exit == 3);
}

// Guards against a completion script that bash cannot parse or that offers the
// options of another command.
TEST_CASE("the completion script works in bash") {
  const auto Run = runProgram(
      "acacianotchctl completion bash | bash -c '. /dev/stdin; "
      "COMP_WORDS=(acacianotchctl rollout st); COMP_CWORD=2; "
      "_acacianotchctl acacianotchctl st rollout; echo ${COMPREPLY[@]}'");
  CHECK(Run.Output == "start status\n");
}
