/// \file Text tables and indented JSON on the terminal.
#include "ctl/print.h"

#include "core/text_func.h"

#include <algorithm>
#include <ostream>

namespace acacianotch {

namespace {

constexpr std::size_t MaxCellLength = 60;

auto cellText(const json &Value) -> std::string {
  if (Value.is_null())
    return "-";
  if (Value.is_string())
    return oneLine(Value.get_ref<const std::string &>(), MaxCellLength);
  return oneLine(Value.dump(-1, ' ', false, json::error_handler_t::replace),
                 MaxCellLength);
}

auto isListOfObjects(const json &Value) -> bool {
  return Value.is_array() && !Value.empty() && Value.front().is_object();
}

auto allKeys(const json &Rows) -> std::vector<std::string> {
  std::vector<std::string> Keys;
  for (const auto &Row : Rows)
    for (const auto &Item : Row.items())
      if (std::find(Keys.begin(), Keys.end(), Item.key()) == Keys.end())
        Keys.push_back(Item.key());
  return Keys;
}

using text_row = std::vector<std::string>;

auto headerRow(const std::vector<std::string> &Columns) -> text_row {
  text_row Row;
  for (const auto &Column : Columns) {
    auto Title = oneLine(Column, MaxCellLength);
    std::transform(Title.begin(), Title.end(), Title.begin(), [](char Char) {
      const auto IsLower = Char >= 'a' && Char <= 'z';
      return IsLower ? static_cast<char>(Char - 'a' + 'A') : Char;
    });
    Row.push_back(std::move(Title));
  }
  return Row;
}

auto bodyRow(const json &Object, const std::vector<std::string> &Columns)
    -> text_row {
  text_row Row;
  for (const auto &Column : Columns)
    Row.push_back(Object.is_object() && Object.contains(Column)
                      ? cellText(Object[Column])
                      : "-");
  return Row;
}

auto printRows(std::ostream &Out, const std::vector<text_row> &Rows) -> void {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    Out << Line << '\n';
  }
}

} // namespace

auto printTable(std::ostream &Out, const json &Rows,
                std::vector<std::string> Columns) -> void {
  if (!isListOfObjects(Rows)) {
    Out << "none\n";
    return;
  }
  if (Columns.empty())
    Columns = allKeys(Rows);
  std::vector<text_row> Lines{headerRow(Columns)};
  for (const auto &Row : Rows)
    Lines.push_back(bodyRow(Row, Columns));
  printRows(Out, Lines);
}

auto printObject(std::ostream &Out, const json &Object) -> void {
  if (!Object.is_object() || Object.empty()) {
    Out << cellText(Object) << '\n';
    return;
  }
  std::vector<text_row> Plain;
  for (const auto &[Key, Value] : Object.items())
    if (!isListOfObjects(Value))
      Plain.push_back({oneLine(Key, MaxCellLength), cellText(Value)});
  if (!Plain.empty())
    printRows(Out, Plain);
  for (const auto &[Key, Value] : Object.items()) {
    if (!isListOfObjects(Value))
      continue;
    Out << '\n' << oneLine(Key, MaxCellLength) << ":\n";
    printTable(Out, Value);
  }
}

auto prettyJson(const json &Value) -> std::string {
  return Value.dump(2, ' ', false, json::error_handler_t::replace);
}

} // namespace acacianotch
