#!/usr/bin/env bash
# Agence Nationale des Servitudes de Pipelines: short network between data centres, about as short to clients. Batch throughput weighs more.
# Run once when the control VMs are up: TOUCANHINGE_CONTROL=10.20.1.10:7300 ./site.sh KEY
set -euo pipefail
: "${1:?the key of the team}"
toucanctl put data-centre hay-riad --region rabat-sale
toucanctl put data-centre agdal --region rabat-sale
toucanctl put data-centre temara --region rabat-sale
toucanctl put link hay-riad agdal --latency-us 250
toucanctl put link hay-riad temara --latency-us 250
toucanctl put link agdal temara --latency-us 250
toucanctl put service servitudes-llm --model servitudes --batch-weight 70
toucanctl put team servitudes-team --key "$1"
toucanctl put contract servitudes-team --team servitudes-team --service servitudes-llm --online --batch
