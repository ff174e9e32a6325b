#!/usr/bin/env bash
# Servicios Municipales de Heredia: shorter network between data centres, several times longer to clients. Online tail latency weighs more.
# Run once when the control VMs are up: TOUCANHINGE_CONTROL=10.30.1.10:7300 ./site.sh KEY
set -euo pipefail
: "${1:?the key of the team}"
toucanctl put data-centre barva-hall --region valle-central
toucanctl put data-centre flores-hall --region valle-central
toucanctl put data-centre belen-hall --region valle-central
toucanctl put data-centre santo-domingo --region valle-central
toucanctl put link barva-hall flores-hall --latency-us 150
toucanctl put link barva-hall belen-hall --latency-us 150
toucanctl put link barva-hall santo-domingo --latency-us 150
toucanctl put link flores-hall belen-hall --latency-us 150
toucanctl put link flores-hall santo-domingo --latency-us 150
toucanctl put link belen-hall santo-domingo --latency-us 150
toucanctl put service triage-llm --model triage --batch-weight 20
toucanctl put team bug-team --key "$1"
toucanctl put contract bug-team --team bug-team --service triage-llm --online --batch
