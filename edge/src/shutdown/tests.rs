use super::*;

#[test]
fn all_is_answered_before_the_platform_kills() {
    let facts = |spans: &[f64]| {
        let mut facts = Facts::default();
        for (place, span) in spans.iter().enumerate() {
            let name = format!("routes.r{place}.client_timeout");
            facts.0.insert(name, wellcrank::port::Fact::Number(*span));
        }
        facts
    };
    let (start, ms) = (Duration::from_secs(9), Duration::from_millis);
    assert_eq!(GracefulShutdown::new(start, &facts(&[0.6, 0.4])).answers, start + ms(1100));
    assert_eq!(GracefulShutdown::new(start, &facts(&[0.6, 20.0])).answers, start + ms(3500));
}
