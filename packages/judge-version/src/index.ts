/** Pure verdict on a version of a service from what its sends brought, beside the version in force. */
export {};
