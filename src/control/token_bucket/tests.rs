use super::*;

const START: Duration = Duration::from_secs(10);

/// Returns whether the bucket gives `amount` units after `milliseconds`. It refills at 2 units per second up to 5 units.
fn gives(mut bucket: TokenBucket, milliseconds: u64, amount: f64) -> bool {
    let refill = Refill {
        rate: 2.0,
        capacity: 5.0,
    };
    let now = START + Duration::from_millis(milliseconds);
    // The first attempt must fail and must not take anything.
    bucket.try_take(now, refill, amount + 100.0) || bucket.try_take(now, refill, amount)
}

#[test]
fn bucket_refills_at_its_rate_up_to_its_capacity() {
    for (milliseconds, amount, expected) in [
        (1000, 2.0, true),
        (1000, 2.1, false),
        (9000, 5.0, true),
        (9000, 5.1, false),
    ] {
        let actual = gives(TokenBucket::new(0.0, START), milliseconds, amount);
        assert_eq!(actual, expected, "{amount} after {milliseconds} ms");
    }
}

#[test]
fn level_is_negative_after_unchecked_take() {
    // The level is -3 units, which takes 1.5 s to refill.
    for (milliseconds, expected) in [(1499, false), (1500, true)] {
        let mut bucket = TokenBucket::new(1.0, START);
        bucket.take_unchecked(4.0);
        assert_eq!(gives(bucket, milliseconds, 0.0), expected);
    }
}
