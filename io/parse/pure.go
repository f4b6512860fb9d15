package parse

import "strings"

// pureFunctions is the set of built-in functions that have no side effects and do not depend on the state of the session
// or of the server. A call of any other function is routed to the primary, so a missing entry costs only performance.
// current_setting, txid_current, pg_is_in_recovery, setseed and the functions of sequences and large objects are left
// out on purpose.
var pureFunctions = func() map[string]bool {
	m := make(map[string]bool)
	for _, n := range strings.Fields(pureFunctionNames) {
		m[n] = true
	}
	return m
}()

const pureFunctionNames = `
any_value array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count covar_pop covar_samp cume_dist dense_rank every
first_value grouping json_agg json_object_agg jsonb_agg jsonb_object_agg lag last_value lead max min mode nth_value ntile
percent_rank percentile_cont percentile_disc range_agg range_intersect_agg rank regr_avgx regr_avgy regr_count
regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy row_number stddev stddev_pop stddev_samp string_agg sum
var_pop var_samp variance xmlagg

ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to decode encode
format initcap left length like like_escape lower lpad ltrim md5 normalize notlike octet_length overlay parse_ident
position quote_ident quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match regexp_matches
regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right rpad rtrim sha224
sha256 sha384 sha512 similar_escape similar_to_escape split_part starts_with string_to_array string_to_table strpos
substr substring to_ascii to_hex translate trim unistr upper is_normalized text bpchar varchar name

abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil ceiling cos cosd cosh cot cotd degrees div
erf erfc exp factorial floor gcd lcm ln log log10 min_scale mod numeric pi pow power radians random round scale sign sin
sind sinh sqrt tan tand tanh trim_scale trunc width_bucket float4 float8 int2 int4 int8 bool get_bit get_byte set_bit
set_byte bit_count int4range int8range numrange tsrange tstzrange daterange

age clock_timestamp date date_add date_bin date_part date_subtract date_trunc extract isfinite justify_days justify_hours
justify_interval make_date make_interval make_time make_timestamp make_timestamptz now overlaps statement_timestamp
timeofday timezone to_char to_date to_number to_timestamp transaction_timestamp timestamp timestamptz time timetz interval

array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
array_prepend array_remove array_replace array_sample array_shuffle array_to_string array_upper cardinality trim_array
unnest generate_series generate_subscripts isempty lower_inc lower_inf upper_inc upper_inf range_merge multirange

array_to_json json_array_elements json_array_elements_text json_array_length json_build_array json_build_object json_each
json_each_text json_extract_path json_extract_path_text json_object json_object_keys json_populate_record
json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_array_elements
jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_keys jsonb_path_exists jsonb_path_match
jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_populate_record jsonb_populate_recordset jsonb_pretty
jsonb_set jsonb_set_lax jsonb_strip_nulls jsonb_to_record jsonb_to_recordset jsonb_typeof row_to_json to_json to_jsonb

array_to_tsvector get_current_ts_config numnode phraseto_tsquery plainto_tsquery querytree setweight strip to_tsquery
to_tsvector ts_delete ts_filter ts_headline ts_rank ts_rank_cd ts_rewrite tsquery_phrase websearch_to_tsquery

area box center circle diagonal diameter height isclosed isopen line lseg npoints path point polygon radius slope width
abbrev broadcast cidr family host hostmask inet_merge inet_same_family masklen netmask network set_masklen

coalesce greatest least nullif num_nonnulls num_nulls pg_typeof pg_sleep pg_sleep_for pg_sleep_until gen_random_uuid
uuid_extract_timestamp uuid_extract_version crc32 crc32c hashtext

col_description current_catalog current_database current_schema current_schemas current_user format_type
has_column_privilege has_database_privilege has_function_privilege has_schema_privilege has_sequence_privilege
has_table_privilege obj_description pg_char_to_encoding pg_encoding_to_char pg_function_is_visible pg_get_constraintdef
pg_get_expr pg_get_function_arguments pg_get_function_identity_arguments pg_get_function_result pg_get_functiondef
pg_get_indexdef pg_get_keywords pg_get_ruledef pg_get_serial_sequence pg_get_statisticsobjdef pg_get_triggerdef
pg_get_userbyid pg_get_viewdef pg_has_role pg_table_is_visible pg_type_is_visible session_user shobj_description
to_regclass to_regnamespace to_regproc to_regprocedure to_regrole to_regtype user version
pg_column_size pg_database_size pg_indexes_size pg_relation_size pg_size_bytes pg_size_pretty pg_table_size
pg_total_relation_size
`
