use super::*;

#[test]
fn every_write_requires_the_operation_id_and_if_match_headers() {
    let description = description();
    for operation in OPERATIONS {
        let described = &description["paths"][operation.path][operation.method];
        let parameters = described["parameters"].as_array().unwrap();
        let headers = parameters
            .iter()
            .filter(|parameter| parameter["in"] == "header")
            .count();
        assert_eq!(
            headers,
            if operation.is_write { 2 } else { 0 },
            "{}",
            operation.path
        );
        let path_parameters = parameters.len() - headers;
        assert_eq!(
            path_parameters,
            operation.path.matches('{').count(),
            "{}",
            operation.path
        );
    }
}
