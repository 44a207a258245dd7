# Runs a case; sourced by the cases' scripts, which set `case_name` and `case_folder`. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
stand_ins=target/review/release/review-stand-ins
# The deploy file's command, from the repository's root.
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
export RUN TROUBLE="${TROUBLE:-1}"
[ -n "$RUN" ] && [ -x target/release/sablerun ] && [ -x "$stand_ins" ] || {
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
}
folder=$(mktemp -d) || exit 2
finish() {
    # What the case did not end itself, by its process id.
    if [ -f "$folder/processes" ]; then
        while read -r process; do
            # Only if the id still belongs to the dispatcher that was started under it.
            if grep -qs sablerun "/proc/$process/cmdline"; then kill -KILL "$process"; fi
        done <"$folder/processes"
    fi
    if [ -n "${LOGS:-}" ]; then for log in "$folder"/*/log; do mkdir -p "$LOGS" && cp "$log" "$LOGS/$(basename "$(dirname "$log")").log"; done; fi
    rm -rf "$folder"
}
trap finish EXIT
timeout -k 2 115 "$stand_ins" "$case_name" "$folder" "$case_folder/record.txt"
result=$?
# Anything else than the three results, a time-out included, means that the case could not run.
[ "$result" -le 2 ] || result=2
exit "$result"
