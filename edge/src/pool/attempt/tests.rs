use super::AttemptState::{AwaitingResponse, Deferred, Queued, ReadingResponse, Writing};
use super::*;
use crate::deadlines::{Deadline, DeadlineQueue};
use wellcrank::port::TICK_TIMER;

/// The id of a deadline whose queue is gone, for attempts whose timer does not matter.
fn unset_timer() -> DeadlineId {
    DeadlineQueue::default().set(Duration::ZERO, 0, Deadline::ControllerTimer(TICK_TIMER))
}

#[test]
fn the_state_after_a_write_depends_on_progress_and_pending_bytes() {
    // The state before, whether bytes were written, the number of pending bytes, the state after.
    let cases = [
        (Queued, false, 100, Queued),
        (Queued, true, 40, Writing),
        (Queued, true, 0, AwaitingResponse),
        (Deferred, false, 100, Deferred),
        (Deferred, true, 40, Writing),
        (Deferred, true, 0, AwaitingResponse),
        (Writing, false, 40, Writing),
        (Writing, true, 20, Writing),
        (Writing, true, 0, AwaitingResponse),
        (AwaitingResponse, false, 0, AwaitingResponse),
        (ReadingResponse, false, 0, ReadingResponse),
    ];
    for (before, has_progressed, pending_bytes, after) in cases {
        assert_eq!(
            before.after_write(has_progressed, pending_bytes),
            after,
            "{before:?}, progress {has_progressed}, {pending_bytes} bytes left"
        );
    }
}

#[test]
fn the_state_of_an_attempt_decides_how_it_ends() {
    use AttemptOutcome::{Cancelled, ConnectFailed, NotSent, Reset, TimedOut};
    // The state, and its outcomes: on a timeout without and with an established connection, on a disconnect, on a
    // cancellation.
    let cases = [
        (Queued, ConnectFailed, NotSent, ConnectFailed, NotSent),
        (Deferred, ConnectFailed, NotSent, ConnectFailed, NotSent),
        (
            Writing,
            ConnectFailed,
            ConnectFailed,
            ConnectFailed,
            Cancelled,
        ),
        (AwaitingResponse, TimedOut, TimedOut, Reset, Cancelled),
        (ReadingResponse, TimedOut, TimedOut, Reset, Cancelled),
    ];
    for (state, unconnected_timeout, connected_timeout, disconnect, cancel) in cases {
        let attempt = Attempt {
            request: "1".into(),
            number: AttemptNumber(0),
            started_at: Duration::ZERO,
            deadline: Duration::from_secs(2),
            send_by: Duration::from_secs(1),
            timer: unset_timer(),
            state,
        };
        assert_eq!(
            attempt.outcome_on_timeout(false),
            unconnected_timeout,
            "{state:?}"
        );
        assert_eq!(
            attempt.outcome_on_timeout(true),
            connected_timeout,
            "{state:?}"
        );
        assert_eq!(attempt.outcome_on_disconnect(), disconnect, "{state:?}");
        assert_eq!(attempt.outcome_on_cancel(), cancel, "{state:?}");
        let expected_deadline = if state.is_sent() {
            attempt.deadline
        } else {
            attempt.send_by
        };
        assert_eq!(attempt.current_deadline(), expected_deadline, "{state:?}");
    }
}

#[test]
fn the_advertised_timeout_is_shorter_by_50_ms_or_a_quarter_of_the_remaining_time() {
    let cases = [(1000, 950), (200, 150), (100, 75), (0, 0)];
    for (remaining, advertised) in cases {
        assert_eq!(
            advertised_timeout(Duration::from_millis(remaining)),
            Duration::from_millis(advertised)
        );
    }
}
