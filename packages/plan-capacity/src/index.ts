/** Pure plan of how many targets each failure domain should have, plain and spot, for a demand. */
export {};
