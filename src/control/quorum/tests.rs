use super::*;

#[test]
fn promotion_quorums_overlap_with_save_quorums() {
    for instances in 1..=9 {
        assert!(copies(instances) + promotion(instances) > instances);
        assert!(copies(instances) * 2 > instances);
    }
    assert_eq!((copies(3), promotion(3)), (2, 2));
}
