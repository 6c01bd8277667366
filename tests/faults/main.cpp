// Runs the fault matrix: every fault and every pair of faults at every step of a request. With
// --known_red, failures of cells that the file lists don't fail the run.
#include "faults/scenario.h"

#include <gflags/gflags.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <thread>

DEFINE_string(match, "",
              "run only the cells whose name contains this text, and print their traces");
DEFINE_bool(pairs, true, "also run every pair of faults at one step");
DEFINE_uint32(threads, 4, "number of cells that run in parallel; the results do not depend on it");
DEFINE_string(known_red, "", "file that lists the cells that are known to fail, each in brackets");
DEFINE_uint32(salt, 0, "changes the seeds of all cells; CI uses 0");
DEFINE_string(table, "", "write the results of single faults to this file as a Markdown table");

namespace arbutuspier::faults {
namespace {

std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (std::size_t step = 0; step < kStepCount; ++step) {
        for (std::size_t a = 0; a < kFaultCount; ++a) {
            cells.push_back({static_cast<Step>(step), static_cast<Fault>(a), std::nullopt});
            for (std::size_t b = a + 1; FLAGS_pairs && b < kFaultCount; ++b)
                cells.push_back(
                    {static_cast<Step>(step), static_cast<Fault>(a), static_cast<Fault>(b)});
        }
    }
    return cells;
}

std::string impossibleReasonOf(const Cell &cell)
{
    std::string reason(impossibleReason(cell.step, cell.first));
    if (reason.empty() && cell.second)
        reason = impossibleReason(cell.step, *cell.second);
    return reason;
}

std::string readFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void writeTable(const std::vector<Cell> &cells, const std::vector<CellResult> &results)
{
    std::ofstream file(FLAGS_table);
    file << "| step | fault | verdict | what became of the subject |\n|---|---|---|---|\n";
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (cells[i].second)
            continue;
        const std::string reason = impossibleReasonOf(cells[i]);
        file << "| " << stepName(cells[i].step) << " | " << faultName(cells[i].first) << " | ";
        if (!reason.empty())
            file << "impossible | " << reason << " |\n";
        else
            file << (results[i].failures.empty() ? "held" : "**red**") << " | "
                 << results[i].outcome << " |\n";
    }
}

int run()
{
    std::vector<Cell> cells;
    for (Cell cell : allCells()) {
        cell.salt = FLAGS_salt;
        if (FLAGS_match.empty() || cell.name().find(FLAGS_match) != std::string::npos)
            cells.push_back(std::move(cell));
    }
    std::vector<CellResult> results(cells.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::uint32_t i = 0; i < FLAGS_threads; ++i) {
        threads.emplace_back([&] {
            for (std::size_t cell = next++; cell < cells.size(); cell = next++) {
                if (!impossibleReasonOf(cells[cell]).empty())
                    continue;
                results[cell] = runCell(cells[cell]);
                if (FLAGS_match.empty())
                    results[cell].trace.clear();
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::string knownRedText = FLAGS_known_red.empty() ? "" : readFile(FLAGS_known_red);
    std::size_t runCount = 0;
    std::size_t heldCount = 0;
    std::size_t knownRedCount = 0;
    std::size_t impossibleCount = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (!impossibleReasonOf(cells[i]).empty()) {
            ++impossibleCount;
            continue;
        }
        ++runCount;
        if (results[i].failures.empty()) {
            ++heldCount;
        } else {
            const bool isKnown =
                knownRedText.find("[" + cells[i].name() + "]") != std::string::npos;
            knownRedCount += isKnown ? 1 : 0;
            std::printf("%s [%s] seed %llu: %s\n", isKnown ? "KNOWN RED" : "RED",
                        cells[i].name().c_str(), static_cast<unsigned long long>(cells[i].seed()),
                        results[i].failures.front().c_str());
            for (std::size_t f = 1; f < results[i].failures.size() && !FLAGS_match.empty(); ++f)
                std::printf("    %s\n", results[i].failures[f].c_str());
        }
        if (FLAGS_match.empty())
            continue;
        for (const model::TraceEntry &entry : results[i].trace)
            std::printf("    %s\n", describe(entry).c_str());
        std::printf("  outcome: %s\n", results[i].outcome.c_str());
    }
    if (!FLAGS_table.empty())
        writeTable(cells, results);
    const std::size_t redCount = runCount - heldCount - knownRedCount;
    std::printf("fault matrix: %zu cells run, %zu held, %zu red, %zu known red, %zu impossible\n",
                runCount, heldCount, redCount, knownRedCount, impossibleCount);
    return redCount == 0 ? 0 : 1;
}

} // namespace
} // namespace arbutuspier::faults

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs the fault matrix in virtual time");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return arbutuspier::faults::run();
}
