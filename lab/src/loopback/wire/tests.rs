use super::*;

#[test]
fn answers_wait_for_their_turn() {
    let mut turns = Turns::default();
    [1, 2, 3].iter().for_each(|key| turns.asked(*key));
    assert_eq!(turns.answered(2, b"b".to_vec()), b"");
    assert_eq!(turns.answered(1, b"a".to_vec()), b"ab");
    assert_eq!(turns.open().collect::<Vec<i32>>(), [3]);
}
