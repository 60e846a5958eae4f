use super::*;

#[test]
fn every_promotion_meets_every_acknowledged_save() {
    for instances in 1..=9 {
        assert!(copies(instances) + promotion(instances) > instances);
        assert!(copies(instances) * 2 > instances);
    }
    assert_eq!((copies(3), promotion(3)), (2, 2));
}
