/** How near a target, a copy or a peer is: own failure domain, own region or another one. */
export {};
