/** VMs with a disk that have to be emptied before they are removed. */
package io.yuccaswitch.core.retirement;
