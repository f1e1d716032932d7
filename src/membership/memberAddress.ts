/** Shortens a member's further addresses on the wire: `:port` where the host is that of its `first` address. */
export const memberAddress = {
  shorten: (address: string, first: string): string => {
    const host = hostOf(first);
    return address.startsWith(`${host}:`) ? address.slice(host.length) : address;
  },

  expand: (address: string, first: string): string =>
    address.startsWith(":") ? `${hostOf(first)}${address}` : address,
};

function hostOf(address: string): string {
  return address.slice(0, address.lastIndexOf(":"));
}
