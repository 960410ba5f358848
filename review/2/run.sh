#!/usr/bin/env bash
# TROUBLE=0 runs the case without the unreadable entry. Writes record.txt beside this file.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../run-case.sh" "review/2" unreadableentry.UnreadableEntry
