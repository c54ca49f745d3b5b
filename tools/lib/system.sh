# Starts and stops a whole system on loopback addresses; sourced by the tools beside it.
#
# Before start_system: bin (programs), work (folder for state and logs), net (first two numbers of the
# addresses), centres (array of data centre names), model, service, engines (array: engines of each
# data centre), and optionally entry_flags and engine_flags (arrays).

names=()
pids=()

join() {
    local IFS=,
    echo "$*"
}

start() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    names+=("$name")
    pids+=("$!")
}

# Sends SIGTERM to every process, last started first; false if one did not exit with 0.
stop_all() {
    local failed=0
    local i code
    for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
    done
    for ((i = ${#pids[@]} - 1; i >= 0; --i)); do
        code=0
        wait "${pids[i]}" || code=$?
        if [ "$code" -ne 0 ]; then
            echo "${names[i]} ended with $code:" >&2
            tail -n 5 "$work/${names[i]}.log" >&2
            failed=1
        fi
    done
    names=()
    pids=()
    return $failed
}

start_system() {
    local voters=() controls=() dc n
    operators=()
    callers=()
    for dc in 1 2 3; do
        voters+=("control-$dc=$net.$dc.1:7100")
        controls+=("$net.$dc.1:7100")
        operators+=("$net.$dc.1:7200")
        callers+=("$net.$dc.11:8000" "$net.$dc.12:8000")
    done
    for dc in 1 2 3; do
        start "control-$dc" "$bin/hyssop-control" --host "control-$dc" \
            --data-centre "${centres[dc - 1]}" --data "$work/control-$dc" \
            --listen-peers "$net.$dc.1:7100" --listen-operators "$net.$dc.1:7200" \
            --listen-platform "$net.$dc.1:7300" --global-voters "$(join "${voters[@]}")"
        for n in 1 2; do
            start "entry-$dc-$n" "$bin/hyssop-entry" --host "entry-$dc-$n" \
                --data-centre "${centres[dc - 1]}" --listen-callers "$net.$dc.1$n:8000" \
                --listen-upstreams "$net.$dc.1$n:8100" --listen-platform "$net.$dc.1$n:8200" \
                --listen-peers "$net.$dc.1$n:8300" --peers "$net.$dc.1$((3 - n)):8300" \
                --controls "$(join "${controls[@]}")" --stop-notice-ms 200 \
                ${entry_flags[@]+"${entry_flags[@]}"}
        done
        for ((n = 1; n <= engines[dc - 1]; ++n)); do
            start "engine-$dc-$n" "$bin/standin-engine" --id "engine-$dc-$n" \
                --data-centre "${centres[dc - 1]}" --model "$model" --listen "$net.$dc.2$n:9000" \
                --entries "$net.$dc.11:8100,$net.$dc.12:8100" \
                ${engine_flags[@]+"${engine_flags[@]}"}
        done
        start "$service-$dc" "$bin/standin-service" --id "$service-$dc" \
            --data-centre "${centres[dc - 1]}" --service "$service" --listen "$net.$dc.31:9000" \
            --entries "$net.$dc.11:8100,$net.$dc.12:8100"
    done
}

# Waits, for 20 s at most, until every entry host knows its data centre's upstreams.
wait_for_upstreams() {
    local dc n tries
    for dc in 1 2 3; do
        for n in 1 2; do
            for ((tries = 0; tries < 200; ++tries)); do
                [ "$(curl -s "http://$net.$dc.1$n:8200/metrics" |
                    sed -n 's/^hyssop_upstreams //p')" -gt "${engines[dc - 1]}" ] 2>/dev/null && break
                sleep 0.1
            done
        done
    done
}
