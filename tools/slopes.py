"""Prints the benchmark results as a table and writes the data file for the plot."""

import json
import sys


def main(source, data):
    with open(source, encoding="utf-8") as file:
        rows = json.load(file)["benchmarks"]
    counters = ["allocations", "steps", "store_calls", "bytes", "patch_bytes", "whole_bytes",
                "quiet_bytes", "full_bytes"]
    few_waiting, many_waiting = [], []
    for row in rows:
        figures = [f"{name}={row[name]:.1f}" for name in counters if name in row]
        print(f"{row['name']:32s} {row['cpu_time']:12.1f} us  " + "  ".join(figures))
        parts = row["name"].split("/")
        if parts[0] == "PlannerDecision":
            target = many_waiting if int(parts[2]) == 500 else few_waiting
            target.append((int(parts[1]), row["cpu_time"]))
    with open(data, "w", encoding="utf-8") as file:
        for points in (few_waiting, many_waiting):
            for workers, cost in points:
                file.write(f"{workers} {cost}\n")
            file.write("\n\n")


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
