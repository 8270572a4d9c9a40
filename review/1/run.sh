#!/usr/bin/env bash
program=stop_during_stream
. "$(dirname "$0")/../support/run_case.sh"
