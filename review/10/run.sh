#!/usr/bin/env bash
# Plays the case of claim.txt; TROUBLE=0 plays the same without the disruption.
exec "$(dirname "$0")/../standins-2/run-case.sh" "$(dirname "$0")"
