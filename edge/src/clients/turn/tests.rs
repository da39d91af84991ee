use super::*;

/// Uses up turns until the budget has no more. Returns how many there were.
fn count_turns(budget: &mut IterationBudget, commands_per_turn: usize) -> usize {
    let mut turns = 0;
    while !budget.is_used_up() {
        let mut turn = budget.begin_turn();
        for _ in 0..commands_per_turn {
            turn.count_command();
        }
        budget.end_turn(&turn);
        turns += 1;
    }
    turns
}

#[test]
fn a_turn_ends_after_its_commands_or_bytes() {
    let mut turn = IterationBudget::new().begin_turn();
    for _ in 0..MAX_COMMANDS_PER_TURN {
        assert!(turn.allows_command());
        turn.count_command();
    }
    assert!(!turn.allows_command());
    assert!(turn.allows_read());
    turn.count_bytes(MAX_BYTES_PER_TURN - 1);
    assert!(turn.allows_read());
    turn.count_bytes(2);
    assert!(!turn.allows_read());
}

#[test]
fn an_iteration_ends_whatever_its_turns_do() {
    for (commands_per_turn, expected_turns) in [
        (
            MAX_COMMANDS_PER_TURN,
            MAX_COMMANDS_PER_ITERATION / MAX_COMMANDS_PER_TURN,
        ),
        (1, MAX_COMMANDS_PER_ITERATION),
        (0, MAX_COMMANDS_PER_ITERATION),
    ] {
        let mut budget = IterationBudget::new();
        assert_eq!(count_turns(&mut budget, commands_per_turn), expected_turns);
        // A connection that is about to be closed is still read.
        assert!(budget.begin_turn().allows_command());
    }
}
