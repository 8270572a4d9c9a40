#!/usr/bin/env bash
program=sound_requests_refused
. "$(dirname "$0")/../support/run_case.sh"
