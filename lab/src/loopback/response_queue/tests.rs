use super::*;

#[test]
fn responses_are_sent_in_the_order_of_the_requests() {
    let mut queue = ResponseQueue::default();
    [1, 2, 3].iter().for_each(|key| queue.push_request(*key));
    assert_eq!(queue.complete(2, b"b".to_vec()), b"");
    assert_eq!(queue.complete(1, b"a".to_vec()), b"ab");
    assert_eq!(queue.pending().collect::<Vec<i32>>(), [3]);
}
