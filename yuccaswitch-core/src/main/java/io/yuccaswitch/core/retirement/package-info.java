/** VMs with a disk that are to be emptied before they are taken away. */
package io.yuccaswitch.core.retirement;
