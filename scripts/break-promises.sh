#!/usr/bin/env bash
# Breaks the code on purpose, one promise at a time, and tells whether the fuzz test notices.
# Works on a copy of the tree. Arguments: number of cases (default 400) and seed (default 1).
set -euo pipefail
cd "$(dirname "$0")/.."
cases=${1:-400}
seed=${2:-1}
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | tar --null -T - -cf - | tar -xf - -C "$copy"
export CARGO_TARGET_DIR=${CARGO_TARGET_DIR:-$copy/target}
export FESCUELOCK_SEED=$seed FESCUELOCK_CASES=$cases
cd "$copy"

# Runs the fuzz test on the copy. Prints the number of cases that passed before a failure.
fuzz() {
    if timeout 900 cargo test --release --quiet -p fescuelock-load --test promises \
        >"$copy/log" 2>&1; then
        echo "not noticed in $cases cases"
    elif grep -q "minimal failing input" "$copy/log"; then
        echo "noticed after $(sed -n 's/^.*successes: \([0-9]*\).*$/\1/p' "$copy/log" | tail -1) cases"
    else
        echo "did not run: $(grep -m1 -E '^error' "$copy/log")"
    fi
}

# Replaces text in a file, runs the fuzz test and puts the file back.
break_promise() {
    local name=$1 file=$2 old=$3 new=$4
    cp "$file" "$copy/original"
    OLD=$old NEW=$new perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/' "$file"
    if cmp -s "$file" "$copy/original"; then
        echo "$name: the text to break was not found"
    else
        rm -f crates/fescuelock-load/tests/promises.proptest-regressions
        echo "$name: $(fuzz)"
    fi
    cp "$copy/original" "$file"
}

echo "unbroken: $(fuzz)"
platform=crates/fescuelock-store/src
router=crates/fescuelock-router/src
upstreams=crates/fescuelock-upstreams/src

break_promise "a claim counts as recorded whatever the platform answers" $platform/claims.rs \
    'put(&self.object_key, body.into(), condition).await?;' \
    'put(&self.object_key, body.into(), condition).await.unwrap_or(crate::objects::ObjectVersion(0));'
break_promise "a second claim of a key is granted" $platform/claim_record.rs \
    'Some(record)) if record.nonce == claim.nonce => {' \
    'Some(record)) if record.nonce != "" || claim.nonce == "" => {'
break_promise "a claim is given back after an unknown outcome" $router/service.rs \
    'Err(failure) if matches!(*failure, Outcome::NotRun(_)) => {' \
    'Err(failure) if matches!(*failure, Outcome::NotRun(_) | Outcome::Unknown(_)) => {'
break_promise "every call may be repeated" $router/service.rs \
    'rule.is_retryable.then_some(Retryable)' 'Some(Retryable)'
break_promise "a lost call is told as not run" $upstreams/dispatch.rs \
    'AttemptResult::Lost(attempt, unknown_cause(&error))' \
    '{ let _ = unknown_cause(&error); AttemptResult::NotSent(attempt.not_written(UnwrittenRequest)) }'
break_promise "a lower generation is adopted" crates/fescuelock-core/src/config.rs \
    'std::cmp::Ordering::Less => Adoption::Stale,' \
    'std::cmp::Ordering::Less => Adoption::Adopted,'
break_promise "placement is not confirmed before the send" crates/fescuelock-core/src/placement.rs \
    'check_version(snapshot, team_key, version)?;' ''
break_promise "a session may move" $router/chat.rs \
    'let SessionRequest::Bound(binding) = session_request else {' \
    'let SessionRequest::Bound(binding) = &SessionRequest::None.clone() else {'
break_promise "an end marker alone ends an answer" $router/relay.rs \
    'true if reader.has_finish_reason() => {' 'true if reader.has_finish_reason() || batch.ended => {'
break_promise "a clean close ends an answer" $router/relay.rs \
    'Step::Cut => break UnknownCause::AnswerCut,' \
    'Step::Cut => return SegmentEnd::Complete(self.total_usage(&reader)),'
break_promise "an answer's id is not checked" $upstreams/events.rs \
    'Some(_) => Err(Error::IdMismatch),' 'Some(_) => Ok(()),'
break_promise "a whole answer's id is not checked" $upstreams/chat.rs \
    'return Err(Error::IdMismatch);' '{}'
break_promise "a drain does not wait for bills" $router/node.rs \
    'shared.bills.flush().await;' ''
break_promise "a cut stream is closed cleanly" $router/relay.rs \
    'self.sender.abort().await;' \
    'self.sender.send(Bytes::from_static(b"data: [DONE]\n\n")).await;'
