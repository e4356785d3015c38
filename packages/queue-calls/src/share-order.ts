/** Order of waiting calls by the fair shares of their organisations. */
export { compareShareRanks, EQUAL_SHARES, type ShareOrder } from '@limelead/admit-request';
