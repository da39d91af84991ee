use super::*;

#[test]
fn a_token_leads_back_to_its_component_and_key() {
    for component in COMPONENTS {
        for key in [0, 1, 1023] {
            let token = component.token(key);
            assert_eq!(Component::from_token(token), (component, key));
        }
    }
}
