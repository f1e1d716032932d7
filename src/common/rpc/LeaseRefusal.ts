/**
 * Why a control voter refuses a lease:
 * - `held`: another sidecar holds the share, or an earlier process of the same one may;
 * - `starting`: the voter has restarted, and an earlier lease of its share may be in force;
 * - `credits`: it grants single credits to sidecars that use no leases;
 * - `unconfirmed`: it has not been in touch with the control group;
 * - `no-share`: it has no share of this quota;
 * - `released`: the request was sent before its lease was released;
 * - `disabled`: leases are not enabled at the voter.
 */
export type LeaseRefusal =
  "held" | "starting" | "credits" | "unconfirmed" | "no-share" | "released" | "disabled";
