/* libcyaml schema of the bundle document. */
#include "bundle/internal/bundle_schema.h"

#include "curlewcart/cw_bundle.h"

enum {
    NAME_MAX_BYTES = CW_NAME_MAX,
    DCS_MAX = 64,
    WORKERS_MAX = 20000,
    ACCOUNTS_MAX = 10000,
    OPERATORS_MAX = 64
};

static const cyaml_schema_value_t name_value = {
    CYAML_VALUE_STRING(CYAML_FLAG_POINTER, char, 1, NAME_MAX_BYTES),
};

static const cyaml_schema_field_t policy_fields[] = {
    CYAML_FIELD_UINT("signatures", CYAML_FLAG_OPTIONAL, struct cw_policy_def,
                     signatures),
    CYAML_FIELD_UINT("spare_workers", CYAML_FLAG_OPTIONAL,
                     struct cw_policy_def, spare_workers),
    CYAML_FIELD_UINT("max_waiting", CYAML_FLAG_OPTIONAL, struct cw_policy_def,
                     max_waiting),
    CYAML_FIELD_UINT("max_attempts", CYAML_FLAG_OPTIONAL, struct cw_policy_def,
                     max_attempts),
    CYAML_FIELD_END,
};

static const cyaml_schema_field_t dc_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct cw_dc_def, name,
                           1, NAME_MAX_BYTES),
    CYAML_FIELD_BOOL("out", CYAML_FLAG_OPTIONAL, struct cw_dc_def,
                     out_of_service),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t dc_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_dc_def, dc_fields),
};

static const cyaml_schema_field_t worker_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct cw_worker_def,
                           name, 1, NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("dc", CYAML_FLAG_POINTER, struct cw_worker_def, dc,
                           1, NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("rack", CYAML_FLAG_POINTER, struct cw_worker_def,
                           rack, 1, NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("address", CYAML_FLAG_POINTER, struct cw_worker_def,
                           address, 1, NAME_MAX_BYTES),
    CYAML_FIELD_UINT("accelerators", CYAML_FLAG_DEFAULT, struct cw_worker_def,
                     accelerators),
    CYAML_FIELD_UINT("cores", CYAML_FLAG_DEFAULT, struct cw_worker_def, cores),
    CYAML_FIELD_UINT("memory_mb", CYAML_FLAG_DEFAULT, struct cw_worker_def,
                     memory_mb),
    CYAML_FIELD_UINT("slots", CYAML_FLAG_DEFAULT, struct cw_worker_def, slots),
    CYAML_FIELD_UINT("connections", CYAML_FLAG_DEFAULT, struct cw_worker_def,
                     connections),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t worker_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_worker_def,
                        worker_fields),
};

static const cyaml_schema_field_t guarantee_fields[] = {
    CYAML_FIELD_STRING_PTR("dc", CYAML_FLAG_POINTER, struct cw_guarantee_def,
                           dc, 1, NAME_MAX_BYTES),
    CYAML_FIELD_UINT("accelerators", CYAML_FLAG_DEFAULT,
                     struct cw_guarantee_def, accelerators),
    CYAML_FIELD_UINT("rack_block", CYAML_FLAG_OPTIONAL,
                     struct cw_guarantee_def, rack_block),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t guarantee_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_guarantee_def,
                        guarantee_fields),
};

static const cyaml_schema_field_t account_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct cw_account_def,
                           name, 1, NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("token_hash", CYAML_FLAG_POINTER,
                           struct cw_account_def, token_hash, 64, 64),
    CYAML_FIELD_UINT("weight", CYAML_FLAG_OPTIONAL, struct cw_account_def,
                     weight),
    CYAML_FIELD_SEQUENCE("dcs", CYAML_FLAG_POINTER, struct cw_account_def, dcs,
                         &name_value, 0, DCS_MAX),
    CYAML_FIELD_SEQUENCE(
        "guarantees", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
        struct cw_account_def, guarantees, &guarantee_value, 0, DCS_MAX),
    CYAML_FIELD_UINT("max_waiting", CYAML_FLAG_OPTIONAL, struct cw_account_def,
                     max_waiting),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t account_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_account_def,
                        account_fields),
};

static const cyaml_schema_field_t operator_fields[] = {
    CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct cw_operator_def,
                           name, 1, NAME_MAX_BYTES),
    CYAML_FIELD_STRING_PTR("public_key", CYAML_FLAG_POINTER,
                           struct cw_operator_def, public_key, 64, 64),
    CYAML_FIELD_BOOL("revoked", CYAML_FLAG_OPTIONAL, struct cw_operator_def,
                     revoked),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t operator_value = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct cw_operator_def,
                        operator_fields),
};

static const cyaml_schema_field_t bundle_fields[] = {
    CYAML_FIELD_MAPPING("policy", CYAML_FLAG_OPTIONAL, struct cw_bundle_doc,
                        policy, policy_fields),
    CYAML_FIELD_SEQUENCE("dcs", CYAML_FLAG_POINTER, struct cw_bundle_doc, dcs,
                         &dc_value, 1, DCS_MAX),
    CYAML_FIELD_SEQUENCE("workers", CYAML_FLAG_POINTER, struct cw_bundle_doc,
                         workers, &worker_value, 0, WORKERS_MAX),
    CYAML_FIELD_SEQUENCE("accounts", CYAML_FLAG_POINTER, struct cw_bundle_doc,
                         accounts, &account_value, 0, ACCOUNTS_MAX),
    CYAML_FIELD_SEQUENCE("operators", CYAML_FLAG_POINTER, struct cw_bundle_doc,
                         operators, &operator_value, 1, OPERATORS_MAX),
    CYAML_FIELD_END,
};

const cyaml_schema_value_t cw_bundle_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct cw_bundle_doc,
                        bundle_fields),
};
